package org.guavathread.router.http;

/**
 * Decides whether an answer is whole, from what the reader and the writer of its connection report, in any order. The
 * load that this answers: a server answers a long upload at once, without a length, and resets the connection while the
 * upload is written. The operating system tells of a reset once: if the writer meets it first, the reader sees an orderly
 * end.
 */
final class AnswerCompletion {

    private boolean headReceived;
    private boolean closeDelimited;
    private boolean requestWritten;
    private boolean inputEnded;
    private boolean lost;
    private AnswerEnd end = AnswerEnd.OPEN;

    /** The head of the answer has arrived. */
    void head(boolean isCloseDelimited) {
        if (!end.isEnd() && !inputEnded && !lost) {
            headReceived = true;
            closeDelimited = isCloseDelimited;
        }
    }

    /** The codec reports the last part; it does so at any close if only the connection delimits the answer. */
    AnswerEnd lastPart() {
        return headReceived && !closeDelimited ? decide(AnswerEnd.DELIMITED) : end;
    }

    /**
     * The whole request has been handed to the operating system.
     *
     * @param beforeEndOfInput whether that was so before the reader saw the end of the input, if it has
     */
    AnswerEnd requestWritten(boolean beforeEndOfInput) {
        requestWritten = true;
        if (lost) {
            return decide(AnswerEnd.LOST);
        }
        return inputEnded ? decideAtEndOfInput(beforeEndOfInput) : end;
    }

    /** The request cannot be written. */
    AnswerEnd requestFailed() {
        return decide(AnswerEnd.LOST);
    }

    /** The reader has seen an orderly end of the input. */
    AnswerEnd inputEnded() {
        if (lost) {
            return end;
        }
        inputEnded = true;
        if (requestWritten || headReceived && !closeDelimited) {
            return decideAtEndOfInput(true);
        }
        return end;
    }

    /** The connection was closed in any other way. Without a head, the writer tells what became of the request. */
    AnswerEnd connectionLost() {
        if (inputEnded) {
            return end;
        }
        lost = true;
        return headReceived || requestWritten ? decide(AnswerEnd.LOST) : end;
    }

    AnswerEnd end() {
        return end;
    }

    boolean isCloseDelimited() {
        return closeDelimited;
    }

    private AnswerEnd decideAtEndOfInput(boolean afterRequest) {
        if (!headReceived || !closeDelimited) {
            return decide(AnswerEnd.LOST);
        }
        return decide(afterRequest ? AnswerEnd.CLOSED_AFTER_REQUEST : AnswerEnd.CLOSED_BEFORE_REQUEST);
    }

    private AnswerEnd decide(AnswerEnd decided) {
        if (!end.isEnd()) {
            end = decided;
        }
        return end;
    }
}
