"""Splitting of configuration items into pages of limited size."""

from collections.abc import Iterable, Iterator, Sequence

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem
from chiveworks.membership._config_page import ConfigPage
from chiveworks.membership._config_push import ConfigPush

#: Maximum encoded size of an item in addition to its key and value.
_ITEM_OVERHEAD_BYTES = 32


def sorted_by_revision(items: Iterable[ConfigItem]) -> list[ConfigItem]:
    """Returns the items sorted by revision."""
    return sorted(items, key=lambda item: item.mod_revision)


def first_page(items: Sequence[ConfigItem], limit_bytes: int) -> ConfigPage:
    """Returns the leading items up to the size limit, at least one.

    Items with the same revision stay on one page, because the next page starts
    after the last revision of this one.

    Args:
        items: Items sorted by revision.
        limit_bytes: Size that a page should not exceed; items of the same revision
            may exceed it.
    """
    total_bytes = 0
    for position, item in enumerate(items):
        total_bytes += _item_size_bytes(item)
        previous_revision = (
            items[position - 1].mod_revision if position else item.mod_revision
        )
        if total_bytes > limit_bytes and previous_revision != item.mod_revision:
            return ConfigPage(tuple(items[:position]), previous_revision)
    return ConfigPage(tuple(items))


def split_push(push: ConfigPush, limit_bytes: int) -> Iterator[ConfigPush]:
    """Yields pushes of limited size that, applied in order, equal `push`."""
    items = sorted_by_revision(push.items)
    after = push.after
    page = first_page(items, limit_bytes)
    while page.next_after:
        yield ConfigPush(page.items, after, page.next_after)
        after = max(after, page.next_after)
        items = items[len(page.items) :]
        page = first_page(items, limit_bytes)
    yield ConfigPush(page.items, after, push.revision)


def latest_by_key(items: Iterable[ConfigItem]) -> tuple[ConfigItem, ...]:
    """Returns the item with the highest revision of each key."""
    latest: dict[str, ConfigItem] = {}
    for item in items:
        held: Revision = (
            latest[item.key].mod_revision if item.key in latest else Revision(0)
        )
        if item.mod_revision > held:
            latest[item.key] = item
    return tuple(latest.values())


def _item_size_bytes(item: ConfigItem) -> int:
    return len(item.key) + len(item.value) + _ITEM_OVERHEAD_BYTES
