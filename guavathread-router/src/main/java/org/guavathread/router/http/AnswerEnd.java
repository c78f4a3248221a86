package org.guavathread.router.http;

/** How an answer ended. */
enum AnswerEnd {
    /** It has not ended, or its end is not decided. */
    OPEN,

    /** Its length or its last chunk has arrived, or its status has no body. */
    DELIMITED,

    /** The peer closed the connection in an orderly way, after the whole request had been written. */
    CLOSED_AFTER_REQUEST,

    /** The peer closed the connection before the whole request had been written. */
    CLOSED_BEFORE_REQUEST,

    /** The connection was lost, the request could not be written, or the answer was cut. */
    LOST;

    /** Tells whether the answer is whole. */
    boolean isWhole() {
        return this == DELIMITED || this == CLOSED_AFTER_REQUEST;
    }

    /** Tells whether the end is decided. */
    boolean isEnd() {
        return this != OPEN;
    }
}
