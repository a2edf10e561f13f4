"""Error that ends the ownership of a shard."""


class ShardLostError(Exception):
    """This process no longer owns the shard; another process may own it."""
