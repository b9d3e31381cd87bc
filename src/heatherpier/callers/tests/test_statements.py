"""Classification of statements."""

import pytest

from heatherpier.callers import Read, SetHint, Unsupported, Write, classify

READS = [
    "SELECT 1",
    "SELECT 1;",
    "(SELECT 1) UNION (SELECT 2)",
    "TABLE jobs",
    "SELECT * FROM jobs WHERE (a, b) IN ((1, 2)) LIMIT 5 OFFSET 10",
    "SELECT `it's` FROM t WHERE c LIKE '%; DROP%'",
    "/* claims */ SELECT a -- it's\nFROM t # end",
    "SELECT a->'$.x', b->>'$.x' FROM t",
    "SELECT DATE '2026-01-01', x'AB', 1.5e3, 0x1F, _utf8mb4'a', b'01'",
    "SELECT JSON_EXTRACT(a, '$.x'), JSON_OBJECT('x', 1), JSON_ARRAYAGG(b) FROM t",
    "SELECT IFNULL(a, 1), DATE_FORMAT(a, '%Y'), COUNT(*), NOW() - INTERVAL 1 DAY FROM t",
    "SELECT ROW_NUMBER() OVER (PARTITION BY a ORDER BY b) FROM t",
    "SELECT MATCH(a) AGAINST('x'), CONVERT(a USING utf8mb4), CAST(a AS SIGNED) FROM t",
    "WITH a AS (SELECT 1) SELECT * FROM a",
    "SELECT DISTINCT a, MAX(b) FROM t JOIN u USING (id) GROUP BY a HAVING MAX(b) > 1",
    "SELECT * FROM t FORCE INDEX (x)",
    "SHOW TABLES",
    "SHOW CREATE TABLE t",
    "DESCRIBE t",
    "EXPLAIN SELECT * FROM t",
]

WRITES = [
    "INSERT INTO t VALUES (1)",
    "update t set a = 1",
    "REPLACE INTO t VALUES (1)",
    "SELECT * FROM t FOR UPDATE",
    "SELECT * FROM t FOR UPDATE SKIP LOCKED",
    "SELECT * FROM t FOR SHARE",
    "SELECT * FROM t LOCK IN SHARE MODE",
    "SELECT * FROM t -- it's\nFOR UPDATE",
    "SELECT 1 /*! FOR UPDATE */",
    "SELECT 1 /*!80000 FOR UPDATE */",
    "SELECT * FROM t INTO OUTFILE 'x'",
    "WITH a AS (SELECT 1) DELETE FROM t",
    "WITH a AS (SELECT 1) UPDATE t SET b = 1",
    "SELECT SLEEP(1)",
    "SELECT BENCHMARK(1, 2)",
    "SELECT LOAD_FILE('x')",
    "SELECT LAST_INSERT_ID()",
    "SELECT MASTER_POS_WAIT('a', 1)",
    "SELECT claim_next(1)",
    "SELECT booking.claim_next(1)",
    "SELECT booking.COUNT(1)",
    "SELECT `claim-next`(1)",
    "SELECT a FROM t WHERE claim_next (a) = 1",
    "SELECT @@server_id",
    "SELECT FROM WHERE (",
    "EXPLAIN UPDATE t SET a = 1",
    "CALL claim(1)",
    "CREATE TABLE t (a INT)",
]

UNSUPPORTED = [
    "",
    "-- nothing",
    "SELECT 1; DROP TABLE t",
    "SHOW TABLES; DROP TABLE t",
    "SELECT FROM WHERE (; DROP TABLE t",
    "CALL group_promote(2, 'x')",
    "CALL /* a */ `group_promote`(2, 'x')",
    "call db.group_adopt_term(9, 'x')",
    "/*!50000 CALL group_promote(2, 'x') */",
    "KILL 5",
    "KILL QUERY 5",
    "LOCK TABLES t WRITE",
    "SELECT GET_LOCK('a', 1)",
    "INSERT INTO t VALUES (RELEASE_LOCK('a'))",
    "CREATE TEMPORARY TABLE t (a INT)",
    "SELECT @x",
    "SELECT @x := 1",
    "SELECT 1 INTO @x",
    "INSERT INTO t VALUES (@x)",
    "HANDLER t OPEN",
    "LOAD DATA LOCAL INFILE 'x' INTO TABLE t",
    "FLUSH TABLES",
    "SHUTDOWN",
    "SHOW PROCESSLIST",
    "PREPARE a FROM 'SELECT 1'",
    "SET sql_log_bin = 0",
]


@pytest.mark.parametrize("sql", READS)
def test_plain_statement_is_a_read(sql):
    assert classify(sql) == Read()


@pytest.mark.parametrize("sql", WRITES)
def test_statement_that_is_not_surely_a_read_is_a_write(sql):
    assert classify(sql) == Write()


@pytest.mark.parametrize("sql", UNSUPPORTED)
def test_statement_that_cannot_be_forwarded_is_unsupported(sql):
    assert isinstance(classify(sql), Unsupported)


@pytest.mark.parametrize(
    ("sql", "kind"),
    [
        ("INSERT INTO t VALUES " + ", ".join(["(1, 'a')"] * 50_000), Write()),
        ("SELECT a FROM t WHERE b IN (" + ", ".join(["7"] * 50_000) + ")", Write()),
        ("UPDATE t SET a = 1", Write()),
    ],
    ids=["long write", "long query", "write"],
)
def test_writes_and_long_queries_are_not_parsed(monkeypatch, sql, kind):
    def fail(*args, **options):
        raise AssertionError("parsed")

    monkeypatch.setattr("sqlglot.parse_one", fail)
    assert classify(sql) == kind


@pytest.mark.parametrize(
    ("part", "kind"),
    [
        ("/* ", Read()),
        ("/*!", Write()),
        ("'", Read()),
        (" ", Read()),
        ("(", Write()),
        ("`", Write()),
        ("a", Write()),
        ("\\", Write()),
        ("--", Write()),
    ],
)
def test_unterminated_text_is_classified_in_linear_time(part, kind):
    # Quadratic matching would not finish on this length. Text that is not SQL is
    # classified all the same; the instance rejects it.
    assert classify("SELECT " + part * 400_000) == kind


@pytest.mark.parametrize(
    ("sql", "name", "value"),
    [
        ("SET @heatherpier_key = 'claim-7'", "key", "claim-7"),
        ('set @heatherpier_key := "a, b" ;', "key", "a, b"),
        ("SET @heatherpier_max_age_ms=500", "max_age_ms", "500"),
        ("SET @heatherpier_key = NULL", "key", "NULL"),
        ("SET @heatherpier_token = ''", "token", ""),
    ],
)
def test_one_hint_is_set(sql, name, value):
    assert classify(sql) == SetHint(name, value)


@pytest.mark.parametrize(
    "sql",
    [
        "SET @heatherpier_key='a', autocommit=0",
        "SET @heatherpier_key = 'a', @heatherpier_max_age_ms = 5",
        "SET @heatherpier_key = 'a' 'b'",
        "SET @heatherpier_key = a b",
        "SET @heatherpier_key =",
    ],
)
def test_a_hint_with_anything_behind_its_value_is_refused(sql):
    assert isinstance(classify(sql), Unsupported)
