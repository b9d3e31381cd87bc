"""Serves a stand-in instance over the MySQL protocol."""

import asyncio
import signal
from pathlib import Path
from typing import Any

from mysql_mimic import ColumnType, MysqlServer, ResultColumn, ResultSet
from mysql_mimic.errors import MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

from heatherpier.bench._admission import (
    CountingControl,
    LimitedUsers,
    data_centre_of,
)
from heatherpier.bench._instance import Instance
from heatherpier.bench._instance_session import InstanceSession
from heatherpier.bench._settings import InstanceSettings, load_instance_settings
from heatherpier.callers import PacketAdapter
from heatherpier.timers import LoopTimers
from heatherpier.upstreams import Instance as Address
from heatherpier.upstreams import Result, StatementError
from heatherpier.upstreams.mysql import MysqlConnector

# Time that a new connection takes besides the network delay.
CONNECT_DELAY_S = 0.012


async def run_instance(path: Path) -> None:
    """Runs one stand-in instance until SIGTERM or SIGINT.

    Args:
        path: JSON file with its settings.
    """
    cfg = load_instance_settings(path)
    timers = LoopTimers()
    instance = Instance(
        _address(cfg, cfg.name),
        peers=[_address(cfg, peer.name) for peer in cfg.instances],
        connector=MysqlConnector(
            user="replication",
            password="",
            program_name=f"instance/{_address(cfg, cfg.name).data_centre}/{cfg.name}",
        ),
        timers=timers,
        slots=cfg.slots,
        connection_limit=cfg.connections,
    )
    instance.faults.lag_ms = cfg.lag_ms
    instance.bootstrap(cfg.first_primary)
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stop.set)
    server = await serve_instance(instance, remote_delay_s=cfg.far_ms / 1000)
    replication = asyncio.create_task(instance.replicate())
    await stop.wait()
    replication.cancel()
    server.close()


def _address(cfg: InstanceSettings, name: str) -> Address:
    model = next(item for item in cfg.instances if item.name == name)
    return Address(
        name=model.name,
        host=model.host,
        port=model.port,
        data_centre=model.data_centre,
    )


async def serve_instance(
    instance: Instance, *, remote_delay_s: float = 0.0
) -> MysqlServer:
    """Starts a MySQL server at the instance's address and returns it.

    Args:
        instance: The instance.
        remote_delay_s: One-way delay to clients in another data centre, in seconds.
    """
    control = CountingControl()
    server = MysqlServer(
        session_factory=lambda: _MysqlSession(instance, remote_delay_s=remote_delay_s),
        control=control,
        identity_provider=LimitedUsers(control, limit=instance.connection_limit),
    )
    await server.start_server(host=instance.address.host, port=instance.address.port)
    return server


class _MysqlSession(BaseSession):
    """Adapts the session of one connection to the MySQL server library."""

    def __init__(self, instance: Instance, *, remote_delay_s: float) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self._instance = instance
        self._remote_delay_s = remote_delay_s
        self._one_way_s = 0.0
        self._session = InstanceSession(instance)
        self._packets: PacketAdapter | None = None

    async def init(self, connection: Any) -> None:
        await self._instance.wait_until_resumed()
        program_name = connection.client_connect_attrs.get("program_name", "")
        data_centre = data_centre_of(program_name)
        if (
            data_centre is not None
            and data_centre != self._instance.address.data_centre
        ):
            self._one_way_s = self._remote_delay_s
        await asyncio.sleep(CONNECT_DELAY_S + 2 * self._one_way_s)
        self._packets = PacketAdapter(connection)
        self._set_status()

    async def close(self) -> None:
        self._session.rollback()

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        assert self._packets is not None
        try:
            result = await self._execute(sql)
        except StatementError as exc:
            self._packets.set_sqlstate(exc.sqlstate)
            raise MysqlError(exc.message, exc.code) from exc
        finally:
            self._set_status()
        if not result.columns:
            self._packets.set_result(
                affected_rows=result.affected_rows,
                last_insert_id=result.last_insert_id,
            )
            return None
        columns = [
            ResultColumn(name=column.name, type=ColumnType(column.type_code))
            for column in result.columns
        ]
        return ResultSet(rows=result.rows, columns=columns)

    async def _execute(self, sql: str) -> Result:
        await asyncio.sleep(self._one_way_s)
        try:
            return await self._session.execute(sql)
        finally:
            await asyncio.sleep(self._one_way_s)

    def _set_status(self) -> None:
        if self._packets is not None:
            self._packets.set_status(
                in_transaction=self._session.in_transaction,
                autocommit=self._session.autocommit,
            )
