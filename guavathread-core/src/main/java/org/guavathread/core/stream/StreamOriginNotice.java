package org.guavathread.core.stream;

import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.registry.SoftwareVersion;

/**
 * Tells another host at which software version a caller's stream began.
 *
 * @param attempt key of the attempt that brought its first event; see {@link StreamOrigins#keyOf}
 * @param version the version
 * @param lifetimeMillis for how much longer the caller may take the stream up, in milliseconds
 * @param source how the version is known
 */
public record StreamOriginNotice(long attempt, SoftwareVersion version, int lifetimeMillis, StreamOrigins.Source source)
        implements PeerMessage {}
