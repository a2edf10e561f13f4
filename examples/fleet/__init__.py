"""Runs a small fleet on this machine: stand-ins and entry processes."""

from examples.fleet._audit import Audit
from examples.fleet._fleet import Fleet
from examples.fleet._program import Program
from examples.fleet._shape import LAMPHUN, QUIMPERLE, FleetShape

__all__ = ('LAMPHUN', 'QUIMPERLE', 'Audit', 'Fleet', 'FleetShape', 'Program')
