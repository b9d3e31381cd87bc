"""Publishes validated documents through the platform's table service."""

from dataclasses import dataclass

import msgspec

from heatherpier.configuration._errors import (
    ConfigurationError,
    SubmissionConflictError,
    SubmissionUnknownError,
)
from heatherpier.configuration._head import (
    BLOB_PREFIX,
    HEAD_KEY,
    MAX_PAST_SUBMISSIONS,
    Head,
    Manifest,
    PastSubmission,
    decode_manifest,
    digest,
    split_document,
)
from heatherpier.decoding import DECODE_ERRORS
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
        document: Complete document.
        author: Name of the operator.
        submission: Id chosen by the operator. Submitting again with the same id is
            idempotent.
        base_version: Version that the document was edited from, or 0 for the first
            document.
    """

    document: Document
    author: str
    submission: str
    base_version: int


class Publisher:
    """Submits documents to the platform.

    A document is accepted once the head is replaced by a conditional write, after its
    manifest and sections are stored.

    Args:
        tables: Table service, which stores the head.
        objects: Object store of manifests and sections.
        timers: Timer service.
    """

    def __init__(
        self, *, tables: TableStore, objects: ObjectStore, timers: Timers
    ) -> None:
        self._tables = tables
        self._objects = objects
        self._timers = timers

    async def submit(self, submission: Submission) -> Head:
        """Submits a document and returns the head that contains the submission.

        This is a later head if other documents were accepted since.

        Raises:
            SubmissionConflictError: Another document was accepted first.
            SubmissionUnknownError: No attempt succeeded; the platform may still have
                accepted the document.
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
                if _has_moved(current, submission):
                    return await self._result_from_head(current, submission, manifest)
                for name, body in blobs.items():
                    await self._objects.put_object(BLOB_PREFIX + name, body)
                return await self._replace_head(current, submission, digest(encoded))
            except PlatformError as exc:
                # After a conflict or a lost answer, the head that the next attempt
                # reads shows whether the submission was accepted.
                log.info("submission attempt failed", reason=str(exc))
        raise SubmissionUnknownError(submission.submission)

    async def fetch_head(self) -> Head | None:
        """Returns the accepted head, or None before the first.

        Raises:
            PlatformError: The table service did not answer.
        """
        record = await self._tables.get(HEAD_KEY)
        return None if record is None else decode_head(record)

    async def _replace_head(
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
                :MAX_PAST_SUBMISSIONS
            ],
        )
        body = msgspec.json.encode(head)
        await self._tables.put(Record(key=HEAD_KEY, version=version, body=body))
        return head

    async def _result_from_head(
        self, current: Head | None, submission: Submission, manifest: Manifest
    ) -> Head:
        """Returns ``current`` if it lists the submission.

        Raises:
            SubmissionConflictError: It does not.
        """
        if current is None:
            raise SubmissionConflictError(version=0, author="", services=())
        if current.version_of(submission.submission) is not None:
            return current
        body = await self._objects.get_object(BLOB_PREFIX + current.manifest)
        accepted = decode_manifest(body or b"")
        raise SubmissionConflictError(
            version=current.version,
            author=current.author,
            services=accepted.services_that_differ_from(manifest),
        )


def decode_head(record: Record) -> Head:
    """Decodes the head in a record of the table service.

    Raises:
        ConfigurationError: The record holds no head.
    """
    try:
        return msgspec.json.decode(record.body, type=Head)
    except DECODE_ERRORS as exc:
        raise ConfigurationError(
            f"malformed head, version {record.version}: {exc}"
        ) from exc


def _has_moved(current: Head | None, submission: Submission) -> bool:
    """Returns whether the head has another version than the submission's base."""
    version = 0 if current is None else current.version
    return version != submission.base_version
