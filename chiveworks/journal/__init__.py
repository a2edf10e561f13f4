"""journal."""
