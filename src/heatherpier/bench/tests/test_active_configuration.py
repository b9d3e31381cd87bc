"""Proxies in real processes activate a document that is submitted to the platform."""

import asyncio
import dataclasses
import json
import re
import signal
import subprocess
import sys

import pymysql
import pytest

from heatherpier.bench._deployment import DEMO_PASSWORD, SEN_VANG
from heatherpier.bench._fleet import start_fleet
from heatherpier.bench._processes import Processes

ONE_GROUP = dataclasses.replace(SEN_VANG, groups=1, lag_ms=5)
PROXIES = 3
POLL_S = 0.1
POLLS = 300


@pytest.fixture(scope="module")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
async def fleet(tmp_path):
    async with Processes(tmp_path) as processes:
        yield await start_fleet(
            ONE_GROUP,
            processes=processes,
            directory=tmp_path,
            proxies=PROXIES,
            with_platform=True,
        )


def run_command(*args):
    return subprocess.run(
        [sys.executable, "-m", "heatherpier", *args],
        capture_output=True,
        text=True,
        check=False,
    )


def submit(tmp_path, name, *, submission, base):
    return run_command(
        "submit",
        str(tmp_path / name),
        f"--settings={tmp_path / 'proxy-1.json'}",
        "--author=mai",
        f"--submission={submission}",
        f"--base={base}",
    )


def write_document(tmp_path, *, user=None, leaving=()):
    document = json.loads((tmp_path / "document.json").read_text())
    service = document["services"][0]
    service["users"][0]["name"] = user or service["users"][0]["name"]
    for instance in service["groups"][0]["instances"]:
        instance["leaving"] = instance["name"] in leaving
    (tmp_path / "changed.json").write_text(json.dumps(document))


async def wait_for_status(fleet, pattern):
    """Waits until the status of every proxy matches ``pattern``; returns the matches."""
    matches = []
    for settings in fleet.join_settings:
        admin = f"127.0.0.1:{settings['admin']['port']}"
        for _ in range(POLLS):
            status = await asyncio.to_thread(run_command, "status", f"--admin={admin}")
            match = re.search(pattern, status.stdout)
            if match is not None:
                matches.append(match)
                break
            await asyncio.sleep(POLL_S)
        else:
            raise AssertionError(status.stdout + status.stderr)
    return matches


def query(proxy, *, user):
    conn = pymysql.connect(
        host="127.0.0.1",
        port=proxy.port,
        user=user,
        password=DEMO_PASSWORD,
        database=ONE_GROUP.database(ONE_GROUP.group_names()[0]),
        autocommit=True,
    )
    with conn, conn.cursor() as cursor:
        cursor.execute("SELECT 1")
        return cursor.fetchone()


async def test_submitted_document_becomes_active_on_every_proxy(fleet, tmp_path):
    write_document(tmp_path, user="night-desk")
    accepted = submit(tmp_path, "changed.json", submission="s1", base=0)
    assert accepted.stdout == "accepted: version 1\n"
    await wait_for_status(fleet, "configuration 1")
    assert {query(proxy, user="night-desk") for proxy in fleet.proxies} == {(1,)}
    conflicting = submit(tmp_path, "document.json", submission="s2", base=0)
    assert conflicting.returncode == 1
    assert "version 1 by 'mai' was accepted first" in conflicting.stderr


@pytest.mark.parametrize("replaced_before", [False, True])
async def test_primary_marked_as_leaving_is_replaced_in_real_processes(
    fleet, tmp_path, replaced_before
):
    # Guards against a leaving primary that keeps its role. On an overloaded machine the
    # first primary may have been replaced before, so the test takes the present one.
    if replaced_before:
        first = fleet.instances[ONE_GROUP.group_names()[0]][0]
        first.send_signal(signal.SIGSTOP)
        await wait_for_status(fleet, rf"primary (?!{first.name},|none)\S+, term [2-9]")
        first.send_signal(signal.SIGCONT)
    found = await wait_for_status(fleet, r"primary (?!none)(\S+), term ([1-9]\d*)")
    primary, term = max(
        (match.groups() for match in found), key=lambda item: int(item[1])
    )
    write_document(tmp_path, leaving={primary})
    accepted = submit(tmp_path, "changed.json", submission="s1", base=0)
    assert accepted.returncode == 0
    later = "|".join(str(int(term) + number) for number in range(1, 9))
    await wait_for_status(fleet, rf"primary (?!{primary},|none)\S+, term ({later})\b")
    assert query(fleet.proxies[0], user=ONE_GROUP.user) == (1,)
