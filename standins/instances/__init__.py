"""Stand-in for the platform's instance list."""

from standins.instances._app import create_app
from standins.instances._directory import InstanceDirectory

__all__ = ('InstanceDirectory', 'create_app')
