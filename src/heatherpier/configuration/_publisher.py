"""Gets a validated document accepted by the platform's table service."""

from dataclasses import dataclass

import msgspec

from heatherpier.configuration._errors import (
    SubmissionConflictError,
    SubmissionUnknownError,
)
from heatherpier.configuration._head import (
    BLOB_PREFIX,
    HEAD_KEY,
    SUBMISSIONS_KEPT,
    Head,
    Manifest,
    PastSubmission,
    decode_manifest,
    digest,
    split_document,
)
from heatherpier.settings import Document
from heatherpier.stores import (
    ObjectStore,
    PlatformError,
    Record,
    TableStore,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("configuration")

MAX_ATTEMPTS = 5
RETRY_S = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """A document that an operator submits.

    Attributes:
        document: The whole document.
        author: Who submits it.
        submission: Id of the operator's choice; submitting again with the same
            id is idempotent.
        base_version: Version that was edited, or 0 for the first document.
    """

    document: Document
    author: str
    submission: str
    base_version: int


class Publisher:
    """Submits documents.

    Args:
        tables: Holds the head.
        objects: Holds the sections.
        timers: Timer service.
    """

    def __init__(
        self, *, tables: TableStore, objects: ObjectStore, timers: Timers
    ) -> None:
        self._tables = tables
        self._objects = objects
        self._timers = timers

    async def submit(self, submission: Submission) -> Head:
        """Returns the head once it is accepted.

        Raises:
            SubmissionConflictError: Another document was accepted first.
            SubmissionUnknownError: The platform does not tell.
        """
        sections = split_document(submission.document)
        blobs = {digest(body): body for body in sections.values()}
        manifest = Manifest({name: digest(body) for name, body in sections.items()})
        encoded = manifest.encode()
        blobs[digest(encoded)] = encoded
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._timers.sleep(RETRY_S)
            try:
                current = await self.fetch_head()
                if _is_decided(current, submission):
                    return await self._decide(current, submission, manifest)
                for name, body in blobs.items():
                    await self._objects.put_object(BLOB_PREFIX + name, body)
                return await self._move_head(current, submission, digest(encoded))
            except PlatformError as exc:
                # A conflict is decided by the head that the next try reads.
                log.info("submission is tried again", reason=str(exc))
        raise SubmissionUnknownError(submission.submission)

    async def fetch_head(self) -> Head | None:
        """Returns the accepted head, or None before the first.

        Raises:
            PlatformError: The table service did not answer.
        """
        record = await self._tables.get(HEAD_KEY)
        return None if record is None else decode_head(record)

    async def _move_head(
        self, current: Head | None, submission: Submission, manifest: str
    ) -> Head:
        version = submission.base_version + 1
        past = () if current is None else current.submissions
        head = Head(
            version=version,
            manifest=manifest,
            author=submission.author,
            submitted_ms=self._timers.wall_ms(),
            submissions=(PastSubmission(version, submission.submission), *past)[
                :SUBMISSIONS_KEPT
            ],
        )
        body = msgspec.json.encode(head)
        await self._tables.put(Record(key=HEAD_KEY, version=version, body=body))
        return head

    async def _decide(
        self, current: Head | None, submission: Submission, manifest: Manifest
    ) -> Head:
        if current is None:
            raise SubmissionConflictError(version=0, author="", services=())
        if current.version_of(submission.submission) is not None:
            return current
        body = await self._objects.get_object(BLOB_PREFIX + current.manifest)
        accepted = decode_manifest(body or b"")
        raise SubmissionConflictError(
            version=current.version,
            author=current.author,
            services=accepted.changed_from(manifest),
        )


def decode_head(record: Record) -> Head:
    """Reads the head from its record."""
    return msgspec.json.decode(record.body, type=Head)


def _is_decided(current: Head | None, submission: Submission) -> bool:
    version = 0 if current is None else current.version
    return version != submission.base_version
