"""Splitting configuration items by size."""

from collections.abc import Iterable, Iterator, Sequence

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem
from chiveworks.membership._config_page import ConfigPage
from chiveworks.membership._config_push import ConfigPush

#: Bytes of an item on the wire beyond its key and value, at most.
_ITEM_OVERHEAD_BYTES = 32


def sorted_by_revision(items: Iterable[ConfigItem]) -> list[ConfigItem]:
    """Returns the items in the order of their revisions."""
    return sorted(items, key=lambda entry: entry.mod_revision)


def first_page(items: Sequence[ConfigItem], limit_bytes: int) -> ConfigPage:
    """Returns the leading items that fit the limit, at least one.

    Items of equal revision stay together, since the next page starts after the
    last revision of this one.

    Args:
        items: Items in the order of their revisions.
        limit_bytes: Size that a page should not exceed.
    """
    total_bytes = 0
    for position, item in enumerate(items):
        total_bytes += _item_size_bytes(item)
        before = items[position - 1].mod_revision if position else item.mod_revision
        if total_bytes > limit_bytes and before != item.mod_revision:
            return ConfigPage(tuple(items[:position]), before)
    return ConfigPage(tuple(items))


def split_push(push: ConfigPush, limit_bytes: int) -> Iterator[ConfigPush]:
    """Yields pushes of limited size that amount to `push` when taken in order."""
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
    """Returns the last item of each key."""
    latest: dict[str, ConfigItem] = {}
    for item in items:
        held: Revision = (
            latest[item.key].mod_revision if item.key in latest else Revision(0)
        )
        if item.mod_revision > held:
            latest[item.key] = item
    return tuple(latest.values())


def _item_size_bytes(entry: ConfigItem) -> int:
    return len(entry.key) + len(entry.value) + _ITEM_OVERHEAD_BYTES
