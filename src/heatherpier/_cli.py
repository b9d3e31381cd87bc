"""heatherpier: a database proxy with session consistency.

Usage:
  heatherpier proxy --settings=FILE
  heatherpier serve [--settings=FILE]
  heatherpier check DOCUMENT
  heatherpier config check NEW [--against=FILE] [--json]
  heatherpier schema (settings | document)
  heatherpier status --admin=ADDRESS
  heatherpier submit DOCUMENT --settings=FILE --author=NAME --submission=ID
                     [--base=VERSION]
  heatherpier bench platform --settings=FILE
  heatherpier bench instance --settings=FILE
  heatherpier bench demo [--deployment=NAME] [--proxies=N] [--seed=N]
  heatherpier bench restart [--deployment=NAME] [--proxies=N] [--seed=N]
  heatherpier bench writes
  heatherpier bench reads [--deployment=NAME] [--proxies=N] [--seed=N]
  heatherpier bench quotas [--proxies=N] [--lost=N] [--shares=NAME] [--seed=N]
  heatherpier bench overload [--proxies=N] [--seed=N]
  heatherpier bench order [--seeds=N] [--seed=N]
  heatherpier bench failover
  heatherpier bench balancing [--seed=N]
  heatherpier bench load [--deployment=NAME] [--proxies=N] [--rate=N] [--seconds=N]
                         [--seed=N]
  heatherpier bench faults [--seeds=N] [--seed=N]
  heatherpier bench cost
  heatherpier bench control [--deployment=NAME] [--proxies=N] [--seconds=N]
  heatherpier bench scale [--nodes=N] [--seed=N]
  heatherpier bench forwarding [--seed=N]
  heatherpier version
  heatherpier (-h | --help)

Options:
  --settings=FILE    JSON file with the settings of the process; for serve, the file
                     that the platform writes, by default the one that the variable
                     HEATHERPIER_SETTINGS names.
  --against=FILE     Configuration in force, to show the differences from it.
  --json             Print the report as JSON.
  --author=NAME      Who submits the document.
  --submission=ID    Id of your choice; submitting again with it is idempotent.
  --base=VERSION     Version that was edited; the one active if not given.
  --admin=ADDRESS    Admin endpoint of a proxy, as IP:port.
  --deployment=NAME  sen-vang or lantern-ledger [default: sen-vang].
  --proxies=N        Count of proxies [default: 4].
  --seed=N           Seed of all random choices; for faults and order, the first.
  --seeds=N          Count of fault runs, or of runs of each load [default: 1].
  --lost=N           Count of allocators that are lost at the start [default: 0].
  --shares=NAME      Shares of allocators while others are missing: fixed or raised
                     [default: raised].
  --rate=N           Operations a second in each group [default: 30].
  --seconds=N        Time over which operations arrive [default: 20].
  --nodes=N          Count of proxies in the scale run [default: 200].
  -h --help          Show this text.

Examples:
  heatherpier check examples/document.json
  heatherpier config check new.json --against=current.json
  heatherpier proxy --settings=examples/proxy.json
  heatherpier serve --settings=/etc/heatherpier/local.yaml
  heatherpier schema document > document.schema.json
  heatherpier status --admin=10.1.0.11:8306
  heatherpier submit document.json --settings=proxy.json --author=mai --submission=42
  heatherpier bench demo --deployment=lantern-ledger --proxies=12 --seed=7
  heatherpier bench faults --seeds=200
  heatherpier bench faults --seed=17

Exit codes:
  0  done
  1  failed while running
  2  wrong arguments, settings or document
For config check: 0 no findings, 1 findings, 2 unreadable.
"""

import asyncio
import logging
import os
import sys
from pathlib import Path

from docopt import DocoptExit, docopt
from logbook.compat import redirected_logging

from heatherpier import __version__
from heatherpier._proxy import Proxy
from heatherpier._status_command import StatusError, fetch_status_lines
from heatherpier._submit_command import (
    SubmitArguments,
    SubmitError,
    submit_document,
)
from heatherpier.settings import (
    InvalidSettingsError,
    load_document,
    load_settings,
    schema_text,
)
from heatherpier.telemetry import JsonHandler

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2


def main(argv: list[str] | None = None) -> None:
    """Runs the sub-command that ``argv`` names and exits with its code.

    Args:
        argv: Arguments after the program's name; None for those of the process.
    """
    try:
        args = docopt(__doc__, argv=argv)
    except DocoptExit as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    try:
        code = _run(args)
    except InvalidSettingsError as exc:
        print(f"heatherpier: {exc}", file=sys.stderr)
        code = EXIT_INVALID
    except (StatusError, SubmitError, OSError) as exc:
        print(f"heatherpier: {exc}", file=sys.stderr)
        code = EXIT_FAILED
    sys.exit(code)


def _run(args: dict[str, str]) -> int:
    if args["version"]:
        print(__version__)
        return EXIT_OK
    if args["config"]:
        return _run_config_check(args)
    if args["check"]:
        document = load_document(Path(args["DOCUMENT"]))
        print(f"valid: {len(document.services)} services")
        return EXIT_OK
    if args["schema"]:
        print(schema_text("settings" if args["settings"] else "document"), end="")
        return EXIT_OK
    if args["status"]:
        print("\n".join(asyncio.run(fetch_status_lines(args["--admin"]))))
        return EXIT_OK
    if args["submit"]:
        return _run_submit(args)
    if args["bench"]:
        # Imported here so that a proxy does not spend memory and start time on it.
        from heatherpier.bench import run_bench

        return run_bench(args)
    if args["serve"]:
        # Imported here so that a MySQL proxy does not load the platform's packages.
        from heatherpier._serve import main as serve

        serve(args["--settings"])
    return _run_proxy(Path(args["--settings"]))


def _run_config_check(args: dict[str, str]) -> int:
    # Imported here so that a MySQL proxy does not load the platform's packages.
    from heatherpier._config_check_command import check_configuration

    against = args["--against"]
    result = check_configuration(
        Path(args["NEW"]),
        against=None if against is None else Path(against),
        as_json=bool(args["--json"]),
    )
    print(result.text)
    return result.code


def _run_submit(args: dict[str, str]) -> int:
    cfg = load_settings(Path(args["--settings"]), environment=os.environ)
    base = args["--base"]
    if base is not None and not base.isdecimal():
        raise InvalidSettingsError("--base", [f"expected a version, got {base!r}"])
    arguments = SubmitArguments(
        document=load_document(Path(args["DOCUMENT"])),
        author=args["--author"],
        submission=args["--submission"],
        base_version=None if base is None else int(base),
    )
    head = asyncio.run(submit_document(cfg, arguments))
    print(f"accepted: version {head.version}")
    return EXIT_OK


def _run_proxy(path: Path) -> int:
    cfg = load_settings(path, environment=os.environ)
    document = load_document(Path(cfg.document))
    fields = {"proxy": cfg.name, "data_centre": cfg.data_centre}
    handler = JsonHandler(level=cfg.log_level, fields=fields)
    # sqlglot logs a warning for each statement that it does not parse completely.
    logging.getLogger("sqlglot").setLevel(logging.ERROR)
    with handler.applicationbound(), redirected_logging():
        return asyncio.run(Proxy(cfg, document, log_handler=handler).run())
