package org.guavathread.router.http;

/** Reads the line with the size of a chunk, byte by byte (RFC 9112, section 7.1). Its extensions have no effect. */
final class ChunkSizeLine {

    /** Maximum length of a line with the size of a chunk and its extensions. */
    private static final int MAX_LINE_BYTES = 1_024;

    /** Hexadecimal digits of the longest size: more than any body that is accepted. */
    private static final int MAX_SIZE_DIGITS = 8;

    private static final int HEXADECIMAL = 16;

    /** A part of the line; each returns the part that the next byte belongs to, or null if the line is malformed. */
    private enum Part {
        START {
            @Override
            Part next(byte b) {
                return isDigit(b) ? SIZE : null;
            }
        },
        SIZE {
            @Override
            Part next(byte b) {
                return isDigit(b) ? SIZE : afterItem(b);
            }
        },
        BEFORE_SEMICOLON {
            @Override
            Part next(byte b) {
                return isBlank(b) ? this : b == ';' ? BEFORE_NAME : null;
            }
        },
        BEFORE_NAME {
            @Override
            Part next(byte b) {
                return isBlank(b) ? this : HttpBytes.isToken(b) ? NAME : null;
            }
        },
        NAME {
            @Override
            Part next(byte b) {
                if (HttpBytes.isToken(b)) {
                    return this;
                }
                return isBlank(b) ? AFTER_NAME : b == '=' ? BEFORE_VALUE : afterItem(b);
            }
        },
        AFTER_NAME {
            @Override
            Part next(byte b) {
                if (isBlank(b)) {
                    return this;
                }
                return b == '=' ? BEFORE_VALUE : b == ';' ? BEFORE_NAME : null;
            }
        },
        BEFORE_VALUE {
            @Override
            Part next(byte b) {
                if (isBlank(b)) {
                    return this;
                }
                return b == '"' ? QUOTED : HttpBytes.isToken(b) ? VALUE : null;
            }
        },
        VALUE {
            @Override
            Part next(byte b) {
                return HttpBytes.isToken(b) ? this : afterItem(b);
            }
        },
        QUOTED {
            @Override
            Part next(byte b) {
                if (b == '"') {
                    return AFTER_QUOTED;
                }
                return b == '\\' ? ESCAPED : HttpBytes.isText(b) ? this : null;
            }
        },
        ESCAPED {
            @Override
            Part next(byte b) {
                return HttpBytes.isText(b) ? QUOTED : null;
            }
        },
        AFTER_QUOTED {
            @Override
            Part next(byte b) {
                return afterItem(b);
            }
        },
        LINE_FEED {
            @Override
            Part next(byte b) {
                return b == '\n' ? COMPLETE : null;
            }
        },
        COMPLETE {
            @Override
            Part next(byte b) {
                throw new IllegalStateException("The line is complete.");
            }
        };

        abstract Part next(byte b);

        /** Returns the part that follows the size or an extension. */
        private static Part afterItem(byte b) {
            return b == '\r' ? LINE_FEED : BEFORE_SEMICOLON.next(b);
        }

        private static boolean isBlank(byte b) {
            return b == ' ' || b == '\t';
        }

        private static boolean isDigit(byte b) {
            return Character.digit(b, HEXADECIMAL) >= 0;
        }
    }

    private Part part = Part.START;
    private long size;
    private int sizeDigits;
    private int bytes;

    /**
     * Takes the next byte.
     *
     * @throws MalformedMessageException if it cannot be part of the line, or the line is too long
     */
    void accept(byte next) throws MalformedMessageException {
        part = part.next(next);
        if (part == null) {
            throw new MalformedMessageException(
                    "The line with the size of a chunk is malformed at the byte " + HttpBytes.show(next) + ".");
        }
        if (++bytes > MAX_LINE_BYTES) {
            throw new MalformedMessageException(
                    "The line with the size of a chunk exceeds " + MAX_LINE_BYTES + " bytes.");
        }
        if (part == Part.SIZE) {
            digit(Character.digit(next, HEXADECIMAL));
        }
    }

    private void digit(int digit) throws MalformedMessageException {
        if (++sizeDigits > MAX_SIZE_DIGITS) {
            throw new MalformedMessageException(
                    "The size of a chunk has more than " + MAX_SIZE_DIGITS + " hexadecimal digits.");
        }
        size = size * HEXADECIMAL + digit;
    }

    boolean isComplete() {
        return part == Part.COMPLETE;
    }

    /** Returns the size of the chunk, in bytes. */
    long size() {
        return size;
    }
}
