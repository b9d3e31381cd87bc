"""The proxy answers queries of drivers and ORMs about the connection."""

import pytest

from heatherpier.callers._local import (
    ConnectionState,
    Forward,
    LocalAnswer,
    SelectDatabase,
    reply_to,
)
from heatherpier.requests import RefusedError


@pytest.fixture
def state():
    return ConnectionState(
        user="dispatch",
        connection_id=9,
        database="assist",
        databases=("claims", "assist"),
        last_insert_id=7,
        row_count=2,
    )


@pytest.mark.parametrize(
    ("sql", "row"),
    [
        ("SELECT @@version", ("8.0.29",)),
        ("select @@session.transaction_isolation", ("REPEATABLE-READ",)),
        ("SELECT @@tx_isolation LIMIT 1", ("REPEATABLE-READ",)),
        ("/* mysql-connector-java */SELECT @@max_allowed_packet AS m", ("4194304",)),
        ("SELECT @@lower_case_table_names, VERSION() AS v", ("0", "8.0.29")),
        ("SELECT DATABASE()", ("assist",)),
        ("SELECT CONNECTION_ID(), CURRENT_USER()", (9, "dispatch@%")),
        ("SELECT LAST_INSERT_ID()", (7,)),
        ("SELECT ROW_COUNT();", (2,)),
        ("SHOW VARIABLES LIKE 'lower\\_case%'", ("lower_case_table_names", "0")),
        ("SHOW SESSION VARIABLES LIKE 'version'", ("version", "8.0.29")),
        (
            "SHOW VARIABLES WHERE Variable_name = 'license' OR Variable_name = 'x'",
            ("license", "GPL"),
        ),
        ("SHOW DATABASES", ("assist",)),
    ],
)
def test_connection_query_is_answered_locally(state, sql, row):
    reply = reply_to(sql, state, in_transaction=False)
    assert isinstance(reply, LocalAnswer)
    assert reply.result.rows[0] == row


@pytest.mark.parametrize(
    "sql",
    [
        "SET NAMES utf8mb4",
        "SET NAMES 'utf8mb4' COLLATE 'utf8mb4_general_ci'",
        "SET CHARACTER SET utf8",
        "SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED",
        "SET TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ WRITE",
        "SET SQL_AUTO_IS_NULL = 0",
        "SET sql_mode='STRICT_TRANS_TABLES'",
        "SET character_set_results = NULL, net_write_timeout = 600",
        "SET @@session.time_zone = '+00:00'",
        "SHOW WARNINGS",
    ],
)
def test_harmless_statement_is_accepted(state, sql):
    assert isinstance(reply_to(sql, state, in_transaction=False), LocalAnswer)


@pytest.mark.parametrize(
    ("sql", "expected"),
    [
        ("SET NAMES latin1", "latin1"),
        ("SET SESSION TRANSACTION ISOLATION LEVEL SERIALIZABLE", "SERIALIZABLE"),
        ("SET SESSION TRANSACTION READ ONLY", "READ ONLY"),
        ("SET sql_mode = 'ANSI_QUOTES'", "ANSI_QUOTES"),
        ("SET time_zone = 'Asia/Taipei'", "Asia/Taipei"),
        ("SET foreign_key_checks = 0", "foreign_key_checks"),
        ("SELECT @@no_such", "no_such"),
        ("SELECT LAST_INSERT_ID() FROM t", "LAST_INSERT_ID"),
        ("INSERT INTO t VALUES (LAST_INSERT_ID())", "LAST_INSERT_ID"),
    ],
)
def test_error_names_the_unsupported_value_or_function(state, sql, expected):
    with pytest.raises(RefusedError, match=expected):
        reply_to(sql, state, in_transaction=False)


@pytest.mark.parametrize(
    ("sql", "forwarded"),
    [
        ("SELECT a FROM t", "SELECT a FROM t"),
        ("SELECT 1", "SELECT 1"),
        ("SET autocommit = 0", "SET autocommit = 0"),
        ("SET character_set_results = NULL, autocommit=1", "SET autocommit=1"),
        ("SET @heatherpier_token = 'a,b'", "SET @heatherpier_token = 'a,b'"),
        ("SELECT 'LAST_INSERT_ID()' FROM t", "SELECT 'LAST_INSERT_ID()' FROM t"),
        ("UPDATE t SET a = LAST_INSERT_ID(a + 1)",) * 2,
        ("SHOW TABLES", "SHOW TABLES"),
    ],
)
def test_other_statement_is_forwarded(state, sql, forwarded):
    assert reply_to(sql, state, in_transaction=False) == Forward(forwarded)


def test_connection_state_function_is_forwarded_in_a_transaction(state):
    sql = "INSERT INTO t VALUES (LAST_INSERT_ID())"
    assert reply_to(sql, state, in_transaction=True) == Forward(sql)


@pytest.mark.parametrize("sql", ["USE claims", "use `claims`;"])
def test_use_selects_a_database(state, sql):
    assert reply_to(sql, state, in_transaction=False) == SelectDatabase("claims")
