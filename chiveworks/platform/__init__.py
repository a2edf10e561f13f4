"""Adapter to the platform: settings, wire formats and the scheduler process."""

from chiveworks.platform._boot_settings import BootSettings, read_boot_settings
from chiveworks.platform._process import PlatformProcess

__all__ = ('BootSettings', 'PlatformProcess', 'read_boot_settings')
