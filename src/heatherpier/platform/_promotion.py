"""Requests promotions of instances from the platform."""

import aiohttp

from heatherpier.leases import ControlError, NotRunningError
from heatherpier.platform._sockets import make_client_session
from heatherpier.timers import Timers

PROMOTION_PATH = "promotion"
# Carries the name of the proxy that coordinates the change of primary.
HOLDER_HEADER = "X-Duty-Holder"
# Carries the fencing token, a number that rises with each change of the coordinator.
TOKEN_HEADER = "X-Fence-Token"
# The outcome of a request that takes longer is unknown. Repeating it is safe, because
# promotions are idempotent.
PROMOTION_TIMEOUT_S = 0.6
STATUS_OK = 200
STATUS_NOT_RUNNING = 409


class PromotionClient:
    """Implements `Promotions` by the platform's HTTP interface.

    Args:
        address: Address of that interface, as ``IP:port``.
        timers: Timer service.
    """

    def __init__(self, address: str, *, timers: Timers) -> None:
        self._url = f"http://{address}/{PROMOTION_PATH}"
        self._timers = timers
        self._session = make_client_session()

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def promote(
        self, service: str, instance: str, *, holder: str, token: int
    ) -> None:
        """Requests a promotion. The call is idempotent."""
        headers = {HOLDER_HEADER: holder, TOKEN_HEADER: str(token)}
        body = {"service": service, "id": instance}
        try:
            async with (
                self._timers.timeout(PROMOTION_TIMEOUT_S),
                self._session.post(self._url, json=body, headers=headers) as resp,
            ):
                await resp.read()
        except TimeoutError as exc:
            raise ControlError(
                f"{instance}: no answer within {PROMOTION_TIMEOUT_S} s"
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise ControlError(f"{instance}: {type(exc).__name__} {exc}") from exc
        if resp.status == STATUS_NOT_RUNNING:
            raise NotRunningError(f"{instance}: not running")
        if resp.status != STATUS_OK:
            raise ControlError(f"{instance}: status {resp.status}")
