"""One stand-in database instance: its log, its term and its replication."""

import asyncio
from collections import Counter
from collections.abc import Coroutine, Sequence
from typing import Any

        body = encode_entries(entries)
