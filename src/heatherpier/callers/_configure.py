"""Converts the settings of a proxy into the arguments of the listener."""

import ssl

from heatherpier.callers._limits import CallerLimits
from heatherpier.settings import CallersModel, StopModel

MS_PER_S = 1000


def limits_of(callers: CallersModel, stop: StopModel) -> CallerLimits:
    """Returns the limits from the settings, converted to seconds."""
    return CallerLimits(
        connections=callers.connections,
        packet_bytes=callers.packet_bytes,
        handshake_s=callers.handshake_ms / MS_PER_S,
        idle_s=callers.idle_ms / MS_PER_S,
        packet_s=callers.packet_ms / MS_PER_S,
        write_s=callers.write_ms / MS_PER_S,
        linger_s=stop.linger_ms / MS_PER_S,
    )


def ssl_context_of(callers: CallersModel) -> ssl.SSLContext | None:
    """Returns the TLS context offered to callers, or None without a certificate.

    Raises:
        OSError: The certificate or its key can't be read.
    """
    if callers.tls_certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(callers.tls_certificate, callers.tls_key)
    return context
