package org.guavathread.wire;

/** A frame that cannot be encoded or decoded. The connection that it arrived on must be closed. */
public class CodecException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Builds the exception.
     *
     * @param message names the offending value and what was expected
     */
    public CodecException(String message) {
        super(message);
    }

    /**
     * Builds the exception.
     *
     * @param message names the offending value and what was expected
     * @param cause the exception of the codec library
     */
    public CodecException(String message, Throwable cause) {
        super(message, cause);
    }
}
