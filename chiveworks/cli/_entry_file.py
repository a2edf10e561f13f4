"""Reading of catalogue entries from YAML files."""

from result import Err

from chiveworks.catalogue import CatalogueEntry
from chiveworks.cli._usage_error import UsageError
from chiveworks.settings import load_document


def read_entry_file(path: str) -> CatalogueEntry:
    """Reads an entry from a YAML file.

    Raises:
        UsageError: The file is not a valid entry; the message lists all problems.
    """
    loaded = load_document(path, CatalogueEntry)
    if isinstance(loaded, Err):
        raise UsageError('\n'.join(str(problem) for problem in loaded.err_value))
    return loaded.ok_value
