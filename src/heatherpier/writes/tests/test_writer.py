"""Tests of single writes on instances in memory, without faults."""

import pytest

from heatherpier.requests import (
    OutcomeUnknownError,
    RefusedError,
    StatementRejectedError,
)

INSERT = "INSERT INTO jobs VALUES (1, 'linh')"


async def test_write_is_on_a_majority_when_it_is_acknowledged(bench, proxy):
    answer = await proxy.write(INSERT)
    holding = [i for i in bench.instances if i.position >= answer.position]
    assert len(holding) >= 2


async def test_write_that_no_replica_holds_is_not_acknowledged(bench, proxy):
    for replica in bench.instances[1:]:
        replica.faults.replication_stopped = True
    with pytest.raises(OutcomeUnknownError):
        await proxy.write(INSERT)


async def test_second_request_with_a_key_gets_the_first_outcome(bench, proxy):
    other = await bench.proxy("proxy-2", seed=8)
    sql = "UPDATE jobs SET agent = 'mai' WHERE agent = 'first'"
    first = await proxy.write(sql, key="claim-1")
    second = await other.write(sql, key="claim-1")
    assert (first.result, bench.count_runs("mai")) == (second.result, 1)


async def test_key_reused_with_another_statement_is_refused(bench, proxy):
    await proxy.write(INSERT, key="claim-1")
    with pytest.raises(RefusedError, match="claim-1"):
        await proxy.write("INSERT INTO jobs VALUES (2, 'mai')", key="claim-1")


async def test_rejected_statement_carries_the_instances_own_error(proxy):
    with pytest.raises(StatementRejectedError) as caught:
        await proxy.write("INSERT INTO jobs VALUES (0, 'second')")
    assert (caught.value.code, caught.value.sqlstate) == (1062, "23000")


async def test_rejections_and_repeats_keep_their_connection(proxy):
    await proxy.write(INSERT, key="claim-1")
    connects = proxy.connector.connects
    for _ in range(3):
        await proxy.write(INSERT, key="claim-1")
        with pytest.raises(StatementRejectedError):
            await proxy.write(INSERT)
    assert proxy.connector.connects == connects


async def test_key_of_a_rejected_statement_runs_again(proxy):
    with pytest.raises(StatementRejectedError):
        await proxy.write("UPDATE claims SET id = 1", key="claim-1")
    await proxy.write("CREATE TABLE claims (id INT)")
    answer = await proxy.write("UPDATE claims SET id = 1", key="claim-1")
    assert answer.result.affected_rows == 0


@pytest.mark.parametrize(
    "key", ["", "a'b", "a\\b", "x" * 129, "claim 1"], ids=lambda key: key[:8]
)
async def test_key_of_a_wrong_form_is_refused(proxy, key):
    with pytest.raises(RefusedError, match="must be 1 to 128 characters"):
        await proxy.write(INSERT, key=key)


async def test_key_older_than_its_retention_is_refused(proxy, timers):
    old_ms = timers.wall_ms() - 25 * 3_600_000
    with pytest.raises(RefusedError, match="outcomes are kept"):
        await proxy.write(INSERT, key="claim-1", key_made_ms=old_ms)


async def test_generated_key_carries_its_creation_time(proxy, timers):
    old_ms = timers.wall_ms() - 25 * 3_600_000
    with pytest.raises(RefusedError, match="outcomes are kept"):
        await proxy.write(INSERT, key=f"hp.proxy-1.{old_ms}.{'0' * 24}")


@pytest.mark.parametrize(
    ("sql", "word"),
    [
        ("SELECT GET_LOCK('a', 1)", "GET_LOCK"),
        ("SET @a = 1", "@a"),
        ("SELECT id INTO @a FROM jobs", "@a"),
        ("CREATE TEMPORARY TABLE t (id INT)", "TEMPORARY"),
        ("LOCK TABLES jobs WRITE", "LOCK"),
        ("USE other", "USE"),
        ("/* note */ USE other", "USE"),
        ("/*!50001 USE other */", "/*!"),
        ("UPDATE jobs SET id = 1; DROP TABLE jobs", ";"),
        ("DELETE FROM heatherpier_requests", "heatherpier_requests"),
        ("DELETE FROM `heatherpier_requests`", "heatherpier_requests"),
        ("CALL book(1)", "CALL"),
        ("SAVEPOINT a", "SAVEPOINT"),
    ],
)
async def test_unsupported_statement_is_refused(proxy, sql, word):
    with pytest.raises(RefusedError, match=word.replace("*", r"\*")):
        await proxy.write(sql)


async def test_words_in_literals_and_comments_are_not_refused(proxy):
    sql = "UPDATE jobs /* USE; @a */ SET agent = 'GET_LOCK(); it''s @a' WHERE id = 0"
    answer = await proxy.write(sql)
    assert answer.result.affected_rows == 1
