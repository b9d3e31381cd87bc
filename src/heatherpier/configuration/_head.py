"""Head record, manifest and sections of a configuration version."""

import hashlib
import json
from collections.abc import Mapping

import msgspec

from heatherpier.configuration._errors import SectionMissingError
from heatherpier.decoding import DECODE_ERRORS
from heatherpier.settings import Document

HEAD_KEY = "configuration/head"
BLOB_PREFIX = "configuration/blobs/"
# Accepted submissions that the head lists, newest first. A submission that is no
# longer listed cannot be recognised when it is submitted again.
MAX_PAST_SUBMISSIONS = 16


class PastSubmission(msgspec.Struct, frozen=True, array_like=True):
    """One accepted submission.

    Attributes:
        version: Version that the submission became.
        submission: Id of the submission.
    """

    version: int
    submission: str


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted version and the digest of its manifest.

    The size of the head does not grow with the number of services, since every
    data centre reads it twice a second.

    Attributes:
        version: Number of the accepted document, from 1.
        manifest: Digest of the manifest, which lists the sections.
        author: Author of the submission.
        submitted_ms: Time of the submission in milliseconds since the Unix epoch.
        submissions: Latest accepted submissions, newest first.
    """

    version: int
    manifest: str
    author: str
    submitted_ms: int
    submissions: tuple[PastSubmission, ...]

    def version_of(self, submission: str) -> int | None:
        """Returns the version that ``submission`` became.

        None means that it was not accepted, or so long ago that the head does not
        list it any more.
        """
        for past in self.submissions:
            if past.submission == submission:
                return past.version
        return None


class Manifest(msgspec.Struct, frozen=True):
    """List of the sections of one version.

    Attributes:
        sections: Digest of each service's section, by name of the service.
    """

    sections: dict[str, str]

    def encode(self) -> bytes:
        """Returns the manifest as canonical JSON."""
        return msgspec.json.encode(self, order="deterministic")

    def services_that_differ_from(self, other: "Manifest") -> list[str]:
        """Returns the services whose sections differ from those in ``other``."""
        names = set(self.sections) | set(other.sections)
        return sorted(
            name
            for name in names
            if self.sections.get(name) != other.sections.get(name)
        )


def split_document(document: Document) -> dict[str, bytes]:
    """Returns the section of each service as canonical JSON, by service name."""
    return {
        service.name: json.dumps(
            service.model_dump(mode="json"), sort_keys=True, separators=(",", ":")
        ).encode()
        for service in document.services
    }


def digest(blob: bytes) -> str:
    """Returns the SHA-256 digest under which a blob is stored, in hexadecimal."""
    return hashlib.sha256(blob).hexdigest()


def decode_manifest(body: bytes) -> Manifest:
    """Decodes a manifest.

    Raises:
        SectionMissingError: ``body`` is not a manifest.
    """
    try:
        return msgspec.json.decode(body, type=Manifest)
    except DECODE_ERRORS as exc:
        raise SectionMissingError(f"invalid manifest: {exc}") from exc


def join_sections(manifest: Manifest, blobs: Mapping[str, bytes]) -> Document:
    """Assembles and validates the document that ``manifest`` describes.

    Args:
        manifest: Manifest of the document.
        blobs: Sections by digest.

    Raises:
        SectionMissingError: A section is not among ``blobs``.
        ValidationError: The document does not validate.
    """
    services = []
    for name, section_digest in sorted(manifest.sections.items()):
        if section_digest not in blobs:
            raise SectionMissingError(
                f"section {section_digest[:12]} of service {name!r} is missing"
            )
        services.append(json.loads(blobs[section_digest]))
    return Document.model_validate({"services": services})
