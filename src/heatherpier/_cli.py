"""heatherpier: a database proxy with session consistency.

Usage:
  heatherpier proxy --settings=FILE
  heatherpier check DOCUMENT
  heatherpier bench instance --settings=FILE
  heatherpier bench demo [--deployment=NAME] [--proxies=N] [--seed=N]
  heatherpier version
  heatherpier (-h | --help)

Options:
  --settings=FILE    JSON file with the settings of the process.
  --deployment=NAME  sen-vang or lantern-ledger [default: sen-vang].
  --proxies=N        Count of proxies [default: 4].
  --seed=N           Seed of all random choices; a new one if not given.
  -h --help          Show this text.

Examples:
  heatherpier check examples/document.json
  heatherpier proxy --settings=examples/proxy.json
  heatherpier bench demo --deployment=lantern-ledger --proxies=12 --seed=7

Exit codes:
  0  done
  1  failed while running
  2  wrong arguments, settings or document
"""

import asyncio
import os
import sys
from pathlib import Path

from docopt import docopt

from heatherpier import __version__
from heatherpier._proxy import Proxy
from heatherpier.bench import run_bench
from heatherpier.settings import InvalidSettingsError, load_document, load_settings
from heatherpier.telemetry import JsonHandler

EXIT_OK = 0
EXIT_INVALID = 2


def main(argv: list[str] | None = None) -> None:
    """Runs one sub-command and exits with its code."""
    args = docopt(__doc__, argv=argv)
    try:
        code = _run(args)
    except InvalidSettingsError as exc:
        print(f"heatherpier: {exc}", file=sys.stderr)
        code = EXIT_INVALID
    sys.exit(code)


def _run(args: dict[str, str]) -> int:
    if args["version"]:
        print(__version__)
        return EXIT_OK
    if args["check"]:
        document = load_document(Path(args["DOCUMENT"]))
        print(f"valid: {len(document.services)} services")
        return EXIT_OK
    if args["bench"]:
        return run_bench(args)
    return _run_proxy(Path(args["--settings"]))


def _run_proxy(path: Path) -> int:
    cfg = load_settings(path, environment=os.environ)
    document = load_document(Path(cfg.document))
    fields = {"proxy": cfg.name, "data_centre": cfg.data_centre}
    handler = JsonHandler(level=cfg.log_level, fields=fields)
    with handler.applicationbound():
        return asyncio.run(Proxy(cfg, document, log_handler=handler).run())
