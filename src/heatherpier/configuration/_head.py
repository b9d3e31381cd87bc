"""The head record and the sections that it names."""

import hashlib
import json
from collections.abc import Mapping

import msgspec

from heatherpier.configuration._errors import SectionMissingError
from heatherpier.settings import Document

HEAD_KEY = "configuration/head"
BLOB_PREFIX = "configuration/blobs/"
SUBMISSIONS_KEPT = 16


class PastSubmission(msgspec.Struct, frozen=True, array_like=True):
    """One accepted submission.

    Attributes:
        version: Version that it became.
        submission: Its id.
    """

    version: int
    submission: str


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """What is active: a version and the digest of its manifest.

    The head stays small however many services there are, since every data
    centre reads it twice a second.

    Attributes:
        version: Count of accepted documents, from 1.
        manifest: Digest of the manifest, which lists the sections.
        author: Who submitted it.
        submitted_ms: When, in milliseconds since the Unix epoch.
        submissions: The latest accepted submissions, newest first.
    """

    version: int
    manifest: str
    author: str
    submitted_ms: int
    submissions: tuple[PastSubmission, ...]

    def version_of(self, submission: str) -> int | None:
        """Returns the version that ``submission`` became, or None."""
        for past in self.submissions:
            if past.submission == submission:
                return past.version
        return None


class Manifest(msgspec.Struct, frozen=True):
    """The sections of one version.

    Attributes:
        sections: Digest of each service's section, by service.
    """

    sections: dict[str, str]

    def encode(self) -> bytes:
        """Returns the manifest's canonical bytes."""
        return msgspec.json.encode(self, order="deterministic")

    def changed_from(self, other: "Manifest") -> list[str]:
        """Returns the services whose section differs from that in ``other``."""
        names = set(self.sections) | set(other.sections)
        return sorted(
            name
            for name in names
            if self.sections.get(name) != other.sections.get(name)
        )


def split_document(document: Document) -> dict[str, bytes]:
    """Returns the section of each service as canonical JSON."""
    return {
        service.name: json.dumps(
            service.model_dump(mode="json"), sort_keys=True, separators=(",", ":")
        ).encode()
        for service in document.services
    }


def digest(blob: bytes) -> str:
    """Returns the name of a blob's content."""
    return hashlib.sha256(blob).hexdigest()


def decode_manifest(body: bytes) -> Manifest:
    """Reads a manifest.

    Raises:
        SectionMissingError: The bytes are not a manifest.
    """
    try:
        return msgspec.json.decode(body, type=Manifest)
    except msgspec.MsgspecError as exc:
        raise SectionMissingError(f"manifest: {exc}") from exc


def join_sections(manifest: Manifest, blobs: Mapping[str, bytes]) -> Document:
    """Returns the document that ``manifest`` names, validated.

    Args:
        manifest: The manifest.
        blobs: Sections by digest.

    Raises:
        SectionMissingError: A section is not among ``blobs``.
        ValidationError: The document does not validate.
    """
    services = []
    for name, wanted in sorted(manifest.sections.items()):
        if wanted not in blobs:
            raise SectionMissingError(f"section {wanted[:12]} of {name}")
        services.append(json.loads(blobs[wanted]))
    return Document.model_validate({"services": services})
