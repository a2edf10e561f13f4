"""The shard has another owner."""


class ShardLostError(Exception):
    """Ends a tenure: another process owns the shard, or none does."""
