package org.guavathread.core.config;

/** The result of a call to the configuration service. */
public sealed interface ServiceAnswer {

    /**
     * The service returned a document.
     *
     * @param json the document in UTF-8
     */
    record Value(byte[] json) implements ServiceAnswer {}

    /** The service has nothing newer. */
    record Unchanged() implements ServiceAnswer {}

    /** The call failed or timed out. */
    record Failed() implements ServiceAnswer {}
}
