"""Scheduler for latency-critical services and batch work on shared instances."""

__version__ = '0.1.0'

__all__ = ('__version__',)
