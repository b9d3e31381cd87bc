"""The ``submit`` sub-command: publishes a document for the whole fleet."""

from dataclasses import dataclass

from heatherpier._fleet_node import platform_address
from heatherpier.configuration import (
    ConfigurationError,
    Head,
    Publisher,
    Submission,
)
from heatherpier.settings import Document, InvalidSettingsError, ProxySettings
from heatherpier.stores import AwsPlatform, PlatformError
from heatherpier.timers import LoopTimers


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitArguments:
    """Arguments of the sub-command.

    Attributes:
        document: The validated document.
        author: Name of the person who submits it.
        submission: Id by which a repeated submission is recognised, so that submitting
            again is idempotent.
        base_version: Version that the document was edited from, or None for the active
            one.
    """

    document: Document
    author: str
    submission: str
    base_version: int | None


class SubmitError(Exception):
    """The document was not accepted, or the outcome is unknown."""


async def submit_document(cfg: ProxySettings, arguments: SubmitArguments) -> Head:
    """Submits a document and returns the head that contains it.

    Args:
        cfg: Settings of a proxy, with those of the platform.
        arguments: The document and how to submit it.

    Raises:
        InvalidSettingsError: The settings name no platform.
        SubmitError: The document was not accepted, or the outcome is unknown.
    """
    if cfg.platform is None:
        raise InvalidSettingsError(
            "settings", ["platform: expected an object, got none"]
        )
    async with AwsPlatform(platform_address(cfg.platform)) as platform:
        publisher = Publisher(tables=platform, objects=platform, timers=LoopTimers())
        try:
            base = arguments.base_version
            if base is None:
                head = await publisher.fetch_head()
                base = 0 if head is None else head.version
            return await publisher.submit(
                Submission(
                    document=arguments.document,
                    author=arguments.author,
                    submission=arguments.submission,
                    base_version=base,
                )
            )
        except (ConfigurationError, PlatformError) as exc:
            raise SubmitError(str(exc)) from exc
