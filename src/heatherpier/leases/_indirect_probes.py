"""Probes of instances by way of the voters."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRegistry
from heatherpier.fleet import Message, Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    InstanceFullError,
)
from heatherpier.leases._messages import ReachAnswer, ReachRequest
from heatherpier.leases._peers import PeerLinks
from heatherpier.telemetry import get_logger

log = get_logger("leases")
# Limit of a request to a voter, which covers the probe on a new connection.
REACH_TIMEOUT_S = 0.7
# Limit of a probe for a peer.
PROBE_TIMEOUT_S = 0.4


@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbeResult:
    """Which voters reach an instance.

    Attributes:
        voters: Count of the other voters, plus one for this proxy.
        reaching: Names of the voters that the instance answers.
        failing: Count of the voters that it does not answer, this proxy included. A
            voter that did not answer the request is in neither.
    """

    voters: int
    reaching: tuple[str, ...]
    failing: int


class IndirectProber:
    """Has the voters probe instances, and probes instances for other proxies.

    Args:
        links: The other proxies.
        network: Requests and answers between proxies.
        registry: The registered instances.
        control: Control statements to instances.
        note_failure: Records that an instance did not answer, and why.
    """

    def __init__(
        self,
        *,
        links: PeerLinks,
        network: PeerNetwork,
        registry: InstanceRegistry,
        control: InstanceControl,
        note_failure: Callable[[str, str], None],
    ) -> None:
        self._links = links
        self._network = network
        self._registry = registry
        self._control = control
        self._note_failure = note_failure
        self._probes: dict[str, asyncio.Task[bool]] = {}
        network.handle(ReachRequest, self._on_reach)

    async def probe_indirectly(self, instance: str) -> IndirectProbeResult:
        """Asks the other voters to probe an instance.

        The instance does not answer this proxy, which counts as failing.
        """
        others = self._links.other_voters()
        answers = await asyncio.gather(
            *(self._request_probe(peer, instance) for peer in others)
        )
        return IndirectProbeResult(
            voters=len(others) + 1,
            reaching=tuple(
                peer.name
                for peer, answer in zip(others, answers, strict=True)
                if answer is True
            ),
            failing=sum(answer is False for answer in answers) + 1,
        )

    async def _request_probe(self, peer: Peer, instance: str) -> bool | None:
        try:
            answer = await self._network.request(
                peer, ReachRequest(instance=instance), timeout_s=REACH_TIMEOUT_S
            )
        except PeerUnreachableError:
            # The peer's failure says nothing about the instance.
            return None
        return isinstance(answer, ReachAnswer) and answer.answers

    async def _on_reach(self, sender: str, req: ReachRequest) -> Message | None:
        # Concurrent requests for the same instance share one probe.
        probe = self._probes.get(req.instance)
        if probe is None:
            probe = asyncio.create_task(self._probe(req.instance))
            self._probes[req.instance] = probe
            probe.add_done_callback(lambda _: self._probes.pop(req.instance))
        return ReachAnswer(answers=await asyncio.shield(probe))

    async def _probe(self, instance: str) -> bool:
        record = self._registry.get(instance)
        if record is None:
            return False
        try:
            await self._control.replication_status(record, timeout_s=PROBE_TIMEOUT_S)
        except InstanceFullError:
            return True
        except ControlError as exc:
            log.info(
                "instance does not answer a probe for a peer",
                instance=instance,
                reason=str(exc),
            )
            self._note_failure(instance, str(exc))
            return False
        return True
