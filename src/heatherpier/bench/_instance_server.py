"""Serves a stand-in instance over the MySQL protocol."""

import asyncio
import signal
from pathlib import Path
from typing import Any

from mysql_mimic import ColumnType, MysqlServer, ResultColumn, ResultSet
from mysql_mimic.control import LocalControl, TooManyConnections
from mysql_mimic.errors import MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

from heatherpier.bench._dialog import Dialog
from heatherpier.bench._instance import Instance
from heatherpier.bench._settings import InstanceSettings, load_instance_settings
from heatherpier.callers import PacketAdapter
from heatherpier.timers import LoopTimers
from heatherpier.upstreams import Instance as Address
from heatherpier.upstreams import MysqlConnector, StatementError

CONNECT_S = 0.012


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
            user="replication", password="", program_name=f"instance/{cfg.name}"
        ),
        timers=timers,
        slots=cfg.slots,
        connection_limit=cfg.connections,
    )
    instance.faults.lag_ms = cfg.lag_ms
    instance.bootstrap(cfg.first_primary)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    server = await serve_instance(instance)
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


async def serve_instance(instance: Instance) -> MysqlServer:
    """Listens at the instance's address."""
    server = MysqlServer(
        session_factory=lambda: _InstanceSession(instance),
        control=_LimitedControl(instance.connection_limit),
    )
    await server.start_server(host=instance.address.host, port=instance.address.port)
    return server


class _LimitedControl(LocalControl):
    """Refuses connections beyond the instance's limit."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    async def add(self, connection: Any) -> int:
        if len(self._connections) >= self._limit:
            raise TooManyConnections
        number: int = await super().add(connection)
        return number


class _InstanceSession(BaseSession):
    """One caller of the instance."""

    def __init__(self, instance: Instance) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self._instance = instance
        self._dialog = Dialog(instance)
        self._packets: PacketAdapter | None = None

    async def init(self, connection: Any) -> None:
        await self._instance.until_resumed()
        await asyncio.sleep(CONNECT_S)
        self._packets = PacketAdapter(connection)
        self._set_status()

    async def close(self) -> None:
        self._dialog.rollback()

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        assert self._packets is not None
        try:
            result = await self._dialog.execute(sql)
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

    def _set_status(self) -> None:
        if self._packets is not None:
            self._packets.set_status(
                in_transaction=self._dialog.in_transaction,
                autocommit=self._dialog.autocommit,
            )
