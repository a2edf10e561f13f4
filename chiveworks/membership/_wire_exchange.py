"""Conversion of exchanges and pushes to and from protobuf."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from chiveworks.base import EntryId, Epoch, Revision, ZoneName
from chiveworks.catalogue import ConfigItem
from chiveworks.membership import peer_pb2
from chiveworks.membership._config_page import ConfigPage
from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._exchange_reply import ExchangeReply
from chiveworks.membership._exchange_request import ExchangeRequest
from chiveworks.membership._owner_record import OwnerRecord
from chiveworks.membership._peer_status import PeerStatus

_MS = timedelta(milliseconds=1)
#: Largest age that fits the uint32 field (49 days).
_MAX_AGE_MS = (1 << 32) - 1


def request_to_wire(request: ExchangeRequest) -> Any:
    """Converts an exchange request to protobuf."""
    return peer_pb2.ExchangeRequest(
        status=_status_to_wire(request.status),
        complete_after=request.complete_after,
        owners=_owners_to_wire(request.owners),
    )


def request_from_wire(message: Any) -> ExchangeRequest:
    """Converts an exchange request from protobuf."""
    complete_after = None
    if message.HasField('complete_after'):
        complete_after = Revision(message.complete_after)
    return ExchangeRequest(
        status=_status_from_wire(message.status),
        complete_after=complete_after,
        owners=_owners_from_wire(message.owners),
    )


def reply_to_wire(reply: ExchangeReply) -> Any:
    """Converts an exchange reply to protobuf."""
    return peer_pb2.ExchangeReply(
        status=_status_to_wire(reply.status),
        items=_items_to_wire(reply.page.items),
        next_after=reply.page.next_after,
        owners=_owners_to_wire(reply.owners),
    )


def reply_from_wire(message: Any) -> ExchangeReply:
    """Converts an exchange reply from protobuf."""
    page = ConfigPage(
        items=_items_from_wire(message.items),
        next_after=Revision(message.next_after),
    )
    return ExchangeReply(
        status=_status_from_wire(message.status),
        page=page,
        owners=_owners_from_wire(message.owners),
    )


def push_to_wire(push: ConfigPush) -> Any:
    """Converts a push to protobuf."""
    return peer_pb2.PushRequest(
        items=_items_to_wire(push.items), after=push.after, revision=push.revision
    )


def push_from_wire(message: Any) -> ConfigPush:
    """Converts a push from protobuf."""
    return ConfigPush(
        items=_items_from_wire(message.items),
        after=Revision(message.after),
        revision=Revision(message.revision),
    )


def _status_to_wire(status: PeerStatus) -> Any:
    age_ms = None
    if status.progress_age is not None:
        age_ms = min(max(status.progress_age // _MS, 0), _MAX_AGE_MS)
    return peer_pb2.PeerStatus(
        entry_id=status.entry_id,
        zone=status.zone,
        address=status.address,
        revision=status.revision,
        last_change=status.last_change,
        floor=status.floor,
        progress_age_ms=age_ms,
        owners_digest=status.owners_digest,
        draining=status.draining,
    )


def _status_from_wire(message: Any) -> PeerStatus:
    age = None
    if message.HasField('progress_age_ms'):
        age = message.progress_age_ms * _MS
    return PeerStatus(
        entry_id=EntryId(message.entry_id),
        zone=ZoneName(message.zone),
        address=message.address,
        revision=Revision(message.revision),
        last_change=Revision(message.last_change),
        floor=Revision(message.floor),
        progress_age=age,
        owners_digest=message.owners_digest,
        draining=message.draining,
    )


def _items_to_wire(items: Iterable[ConfigItem]) -> list[Any]:
    return [
        peer_pb2.ConfigItem(
            key=item.key,
            value=item.value,
            mod_revision=item.mod_revision,
            deleted=item.deleted,
        )
        for item in items
    ]


def _items_from_wire(messages: Iterable[Any]) -> tuple[ConfigItem, ...]:
    return tuple(
        ConfigItem(
            key=message.key,
            value=message.value,
            mod_revision=Revision(message.mod_revision),
            deleted=message.deleted,
        )
        for message in messages
    )


def _owners_to_wire(records: Iterable[OwnerRecord]) -> list[Any]:
    return [
        peer_pb2.OwnerRecord(
            zone=record.zone,
            epoch=record.epoch,
            owner=record.owner,
            peer_address=record.peer_address,
        )
        for record in records
    ]


def _owners_from_wire(messages: Iterable[Any]) -> tuple[OwnerRecord, ...]:
    return tuple(
        OwnerRecord(
            zone=ZoneName(message.zone),
            epoch=Epoch(message.epoch),
            owner=EntryId(message.owner),
            peer_address=message.peer_address,
        )
        for message in messages
    )
