"""Directory of the entry processes that can be called."""

from collections.abc import Iterable
from random import Random

from chiveworks.base import EntryId, ZoneName
from chiveworks.instances import Instance, InstanceRole, InstanceState
from chiveworks.membership._peer import Peer


class PeerDirectory:
    """Peers from the platform's instance list, except those that are draining.

    The list lags behind, so a peer that reports that it is draining is excluded
    before the list changes.
    """

    def __init__(self, own: Peer) -> None:
        self._own = own
        self._listed: dict[EntryId, Peer] = {}
        self._draining: set[EntryId] = set()

    def update(self, instances: Iterable[Instance]) -> None:
        """Replaces the listed peers by those of the current instance list."""
        listed = (
            Peer(EntryId(instance.instance_id), instance.zone, instance.peer_address)
            for instance in instances
            if _is_live_entry(instance)
        )
        self._listed = {
            peer.entry_id: peer
            for peer in listed
            if peer.entry_id != self._own.entry_id
        }
        self._draining.intersection_update(self._listed)

    def update_draining(self, entry_id: EntryId, draining: bool) -> None:
        """Records whether a peer reports that it is draining."""
        if draining and entry_id in self._listed:
            self._draining.add(entry_id)
        else:
            self._draining.discard(entry_id)

    def peers(self) -> tuple[Peer, ...]:
        """Returns the peers of all zones."""
        return tuple(
            peer
            for peer in self._listed.values()
            if peer.entry_id not in self._draining
        )

    def peers_in(self, zone: ZoneName) -> tuple[Peer, ...]:
        """Returns the peers of one zone."""
        return tuple(peer for peer in self.peers() if peer.zone == zone)

    def choose(
        self, random: Random, own_zone_probability: float, avoided: frozenset[str]
    ) -> Peer | None:
        """Chooses a random peer, from the own zone with the given probability.

        Args:
            random: Source of randomness.
            own_zone_probability: Probability of choosing from the own zone, if both the
                own zone and others have peers.
            avoided: Addresses to use only if there are no others.
        """
        peers = self.peers()
        usable = [peer for peer in peers if peer.address not in avoided] or peers
        own_zone = [peer for peer in usable if peer.zone == self._own.zone]
        other_zones = [peer for peer in usable if peer.zone != self._own.zone]
        if own_zone and other_zones:
            return random.choice(
                own_zone if random.random() < own_zone_probability else other_zones
            )
        return random.choice(usable) if usable else None


def _is_live_entry(instance: Instance) -> bool:
    return (
        instance.role is InstanceRole.ENTRY
        and instance.state is InstanceState.LIVE
        and bool(instance.peer_address)
    )
