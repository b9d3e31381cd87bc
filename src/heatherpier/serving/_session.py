"""A caller's session: its values, prepared statements and transaction."""

from dataclasses import replace

from heatherpier.identities import Anonymous, Identified, Rejected
from heatherpier.pooling import (
    Forward,
    ForwardExecute,
    PrepareShape,
    SessionNeeds,
    shape_name,
)
from heatherpier.quotas import Refusal, Right
from heatherpier.routing import Route
from heatherpier.serving._context import ServingContext
from heatherpier.serving._pending_statement import PendingStatement
from heatherpier.serving._runner import RETRY_AFTER_MS, Runner, failed_reply
from heatherpier.serving._session_commits import SessionCommits
from heatherpier.serving._transaction import Transaction
from heatherpier.statements import (
    Access,
    Begin,
    Code,
    Commit,
    Deallocate,
    Done,
    Execute,
    Failed,
    Prepare,
    Query,
    Read,
    Reply,
    Rollback,
    SessionState,
    SetValue,
    Unknown,
    Write,
)
from heatherpier.telemetry import get_logger

log = get_logger("serving")
# Reasons that callers hear for the end of their transaction.
IDLE_TOO_LONG = "it was idle for too long"
STOPPING = "the proxy is stopping"
# Fraction of the latency objective for which an operation waits for a right, and the
# longest such wait in seconds.
RIGHT_WAIT_FRACTION = 0.25
MAX_RIGHT_WAIT_S = 0.25


def find_route(context: ServingContext, database: str) -> Route | Failed:
    """Returns the route of a database, or the failure to answer if there is none.

    Only a recent configuration proves that a database is unknown. With an older one the
    failure asks the caller to retry.
    """
    routes = context.routes
    route = routes.route(database)
    if route is not None:
        return route
    reason = f"no database {database!r:.60} in configuration {routes.table.version}"
    if context.configuration_recent():
        return Failed(code=Code.UNKNOWN_DATABASE, reason=reason)
    return Failed(
        code=Code.OVERLOADED,
        reason=f"{reason}, which may be out of date",
        retry_after_ms=RETRY_AFTER_MS,
    )


def identify_caller(
    context: ServingContext, route: Route, key: str
) -> Identified | Anonymous | Failed:
    """Returns who a caller of a route is, or the failure to answer."""
    identity = context.callers.identify(route, key)
    if not isinstance(identity, Rejected):
        return identity
    reason = f"the key is not in configuration {context.routes.table.version}"
    if identity.final:
        return Failed(code=Code.UNKNOWN_KEY, reason=reason)
    return Failed(
        code=Code.OVERLOADED,
        reason=f"{reason}, which may be out of date",
        retry_after_ms=RETRY_AFTER_MS,
    )


def _refused_reply(refusal: Refusal) -> Reply:
    return failed_reply(
        Code.OVERLOADED,
        "rate limit of the organisation",
        retry_after_ms=max(round(refusal.retry_s * 1000), 1),
    )


def _surely_not_run(reply: Reply) -> bool:
    return isinstance(reply.outcome, Failed) and reply.outcome.not_run


class CallerSession:
    """One session of one caller.

    Args:
        database: Name of the database that the caller opened the session for.
        key: The caller's key, or empty.
        context: State that all sessions share.
        runner: Runs single statements.
    """

    def __init__(
        self, database: str, *, context: ServingContext, runner: Runner, key: str = ""
    ) -> None:
        self.database = database
        self._key = key
        self._context = context
        self._runner = runner
        self._values: dict[str, str] = {}
        self._prepared: dict[str, PrepareShape] = {}
        self._transaction: Transaction | None = None
        self._ended_because = IDLE_TOO_LONG
        # The right of the open transaction, once one of its statements was run.
        self._right: Right | None = None
        self._commits = SessionCommits()
        context.metrics.sessions.inc()

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction is not None

    @property
    def transaction_ended(self) -> bool:
        """Whether the transaction has ended and the caller does not know yet."""
        return self._transaction is not None and self._transaction.ended

    async def execute(self, query: Query) -> Reply:
        """Runs one statement and returns its final answer."""
        began = self._context.timers.now()
        in_transaction = self.in_transaction
        reply = await self._dispatch(query)
        self._record_answer(query, reply, began=began, in_transaction=in_transaction)
        return reply

    async def _dispatch(self, query: Query) -> Reply:
        match query.statement:
            case SetValue(name=name, value=value):
                self._values[name] = value
                return self._done_reply()
            case Prepare(name=name, access=access, shape=shape):
                self._prepared[name] = PrepareShape(
                    name=shape_name(access, shape), access=access, shape=shape
                )
                return self._done_reply()
            case Deallocate(name=name):
                return self._deallocate(name)
            case Begin(read_only=read_only):
                return self._begin(read_only=read_only)
            case Rollback():
                return self._roll_back()
            case Commit():
                return await self._commit(query)
            case Read():
                return await self._run(query, writes=False)
            case Write():
                return await self._run(query, writes=True)
            case Execute(name=name, arguments=arguments):
                return await self._execute(query, name, arguments)
            case Unknown(reason=reason):
                return failed_reply(Code.MALFORMED, reason, state=self._state())

    def _state(self) -> SessionState:
        return SessionState.IDLE if self._transaction is None else SessionState.OPEN

    def _done_reply(self) -> Reply:
        return Reply(outcome=Done(), state=self._state())

    def _deallocate(self, name: str) -> Reply:
        if self._prepared.pop(name, None) is None:
            return self._unknown_name_reply(name)
        return self._done_reply()

    def _unknown_name_reply(self, name: str) -> Reply:
        return failed_reply(
            Code.UNKNOWN_STATEMENT,
            f"no prepared statement {name!r:.60}",
            state=self._state(),
        )

    def _begin(self, *, read_only: bool) -> Reply:
        if self._transaction is not None:
            return failed_reply(
                Code.MALFORMED, "a transaction is already open", state=SessionState.OPEN
            )
        route = self._find_route()
        if isinstance(route, Reply):
            return route
        organisation = self._identify(route)
        if isinstance(organisation, Failed):
            return Reply(outcome=organisation, state=SessionState.IDLE)
        self._transaction = Transaction(
            context=self._context,
            runner=self._runner,
            route=route,
            read_only=read_only,
            organisation=organisation,
        )
        self._right = None
        return self._done_reply()

    def _roll_back(self) -> Reply:
        if self._transaction is None:
            return failed_reply(Code.MALFORMED, "no transaction is open")
        self._transaction.roll_back()
        self._transaction = None
        return self._done_reply()

    async def _commit(self, query: Query) -> Reply:
        transaction = self._transaction
        if transaction is None:
            return failed_reply(Code.MALFORMED, "no transaction is open")
        if transaction.ended:
            return self._rolled_back_reply()
        failure = self._end_if_not_identified(transaction)
        if failure is not None:
            return failure
        call = Forward(id=query.id, text=query.text)
        statement = self._pending_statement(
            call,
            transaction.route,
            writes=transaction.wrote,
            organisation=transaction.organisation,
        )
        refusal = await self._admit_transaction(transaction, statement)
        if refusal is not None:
            return refusal
        reply = await transaction.commit(statement)
        self._transaction = None
        if transaction.wrote:
            self._note_commit(transaction.route, reply)
        return replace(reply, state=SessionState.IDLE)

    def end_transaction(self, *, reason: str) -> None:
        """Rolls back the open transaction between two of its statements.

        The next statement is answered with ``reason``.
        """
        if self._transaction is None or self._transaction.ended:
            return
        log.info(
            "open transaction rolled back",
            database=self.database,
            reason=reason,
            bound=self._transaction.bound,
        )
        self._ended_because = reason
        self._transaction.roll_back()

    def interrupted_reply(self, query: Query) -> Reply:
        """Returns the answer to a statement whose execution was cancelled.

        The transaction, if one is open, has to be rolled back afterwards, by `close`.
        """
        match query.statement:
            case Commit():
                code = Code.OUTCOME_UNKNOWN
            case _ if self.in_transaction:
                code = Code.ABORTED
            case Write():
                code = Code.OUTCOME_UNKNOWN
            case Execute(name=name) if self._writes(name):
                code = Code.OUTCOME_UNKNOWN
            case _:
                code = Code.TIMEOUT
        return failed_reply(code, f"{STOPPING}; the statement was still running")

    def _writes(self, name: str) -> bool:
        prepared = self._prepared.get(name)
        return prepared is not None and prepared.access is Access.WRITE

    async def _execute(self, query: Query, name: str, arguments: str) -> Reply:
        prepared = self._prepared.get(name)
        if prepared is None:
            return self._unknown_name_reply(name)
        call = ForwardExecute(id=query.id, name=prepared.name, arguments=arguments)
        return await self._run(
            query, writes=self._writes(name), call=call, prepared=prepared
        )

    async def _run(
        self,
        query: Query,
        *,
        writes: bool,
        call: ForwardExecute | None = None,
        prepared: PrepareShape | None = None,
    ) -> Reply:
        transaction = self._transaction
        route = self._find_route() if transaction is None else transaction.route
        if isinstance(route, Reply):
            return route
        if transaction is not None:
            if transaction.ended:
                return self._rolled_back_reply()
            failure = self._end_if_not_identified(transaction)
            if failure is not None:
                return failure
            organisation: str | Failed = transaction.organisation
        else:
            organisation = self._identify(route)
        if isinstance(organisation, Failed):
            return Reply(outcome=organisation, state=SessionState.IDLE)
        statement = self._pending_statement(
            call or Forward(id=query.id, text=query.text),
            route,
            writes=writes,
            prepared=prepared,
            organisation=organisation,
        )
        if transaction is not None:
            return await self._run_in_transaction(transaction, statement)
        right = await self._take_right(statement)
        if isinstance(right, Refusal):
            return _refused_reply(right)
        reply = await self._runner.run(statement)
        if _surely_not_run(reply):
            right.put_back()
        if writes:
            self._note_commit(route, reply)
        return reply

    async def _run_in_transaction(
        self, transaction: Transaction, statement: PendingStatement
    ) -> Reply:
        is_first = self._right is None
        refusal = await self._admit_transaction(transaction, statement)
        if refusal is not None:
            return refusal
        reply = await transaction.run(statement)
        if transaction.ended:
            self._transaction = None
            if is_first and self._right is not None and _surely_not_run(reply):
                self._right.put_back()
        return reply

    async def _take_right(self, statement: PendingStatement) -> Right | Refusal:
        wait_s = min(
            statement.route.objective_s * RIGHT_WAIT_FRACTION, MAX_RIGHT_WAIT_S
        )
        return await self._context.quotas.admit(
            statement.organisation,
            deadline=min(self._context.timers.now() + wait_s, statement.deadline),
            statement_id=statement.id,
        )

    async def _admit_transaction(
        self, transaction: Transaction, statement: PendingStatement
    ) -> Reply | None:
        """Takes the right of a transaction before its first statement is run.

        Returns:
            None if the statement may run, else the answer; the transaction has ended.
        """
        if self._right is not None:
            return None
        right = await self._take_right(statement)
        if isinstance(right, Refusal):
            transaction.roll_back()
            self._transaction = None
            return _refused_reply(right)
        if transaction.ended:
            # It was rolled back during the wait.
            right.put_back()
            return self._rolled_back_reply()
        self._right = right
        return None

    def _rolled_back_reply(self) -> Reply:
        self._transaction = None
        return failed_reply(
            Code.ABORTED,
            f"the transaction was rolled back, {self._ended_because}",
            retry_after_ms=0 if self._ended_because == STOPPING else None,
        )

    def _identify(self, route: Route) -> str | Failed:
        """Returns the caller's organisation, empty for none, or why it is rejected."""
        match identify_caller(self._context, route, self._key):
            case Identified(organisation=name):
                return name
            case Anonymous():
                return ""
            case failure:
                return failure

    def _end_if_not_identified(self, transaction: Transaction) -> Reply | None:
        """Rolls a transaction back if the key no longer belongs to its organisation."""
        organisation = self._identify(transaction.route)
        if organisation == transaction.organisation:
            return None
        transaction.roll_back()
        self._transaction = None
        if isinstance(organisation, Failed):
            return Reply(outcome=organisation, state=SessionState.IDLE)
        return failed_reply(Code.ABORTED, "the key belongs to another organisation now")

    def _pending_statement(
        self,
        call: Forward | ForwardExecute,
        route: Route,
        *,
        writes: bool,
        organisation: str,
        prepared: PrepareShape | None = None,
    ) -> PendingStatement:
        return PendingStatement(
            call=call,
            needs=SessionNeeds(values=dict(self._values), prepared=prepared),
            route=route,
            deadline=self._context.timers.now() + route.statement_timeout_s,
            writes=writes,
            own_commit=self._commits.last(route.service),
            organisation=organisation,
        )

    def _note_commit(self, route: Route, reply: Reply) -> None:
        """Records an acknowledged commit; ``route`` is the one that it ran on."""
        if isinstance(reply.outcome, Done):
            self._commits.note(
                route.service,
                reply.position,
                acknowledged_at=self._context.timers.elapsed(),
            )

    def _find_route(self) -> Route | Reply:
        found = find_route(self._context, self.database)
        if isinstance(found, Failed):
            return Reply(outcome=found, state=SessionState.IDLE)
        return found

    def close(self) -> None:
        """Closes the session and rolls back an open transaction."""
        self._context.metrics.sessions.dec()
        if self._transaction is not None:
            self._transaction.roll_back()
            self._transaction = None

    def _record_answer(
        self, query: Query, reply: Reply, *, began: float, in_transaction: bool
    ) -> None:
        delay_s = self._context.timers.now() - began
        route = self._context.routes.route(self.database)
        kind = "none" if route is None else type(route.consistency).__name__
        match reply.outcome:
            case Failed(code=code, reason=reason, retry_after_ms=retry_after_ms):
                outcome = code.value
                log.info(
                    "statement not served",
                    id=query.id,
                    database=self.database,
                    statement=type(query.statement).__name__,
                    in_transaction=in_transaction,
                    answer=outcome,
                    reason=reason,
                    retry_after_ms=retry_after_ms,
                    delay_ms=round(delay_s * 1000, 1),
                    configuration=self._context.routes.table.version,
                )
            case Done():
                outcome = "done"
        self._context.metrics.statements.labels(kind, outcome).inc()
        self._context.metrics.delays.labels(kind).observe(delay_s)
