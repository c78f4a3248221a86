package org.guavathread.wire;

/** A frame with a message type that this build does not know. Nothing else can be wrong with it. */
public final class UnknownMessageException extends CodecException {

    private static final long serialVersionUID = 1L;

    /**
     * Builds the exception.
     *
     * @param number number of the message type
     */
    UnknownMessageException(int number) {
        super("Message number " + number + " is unknown; the peer may run a newer release.");
    }
}
