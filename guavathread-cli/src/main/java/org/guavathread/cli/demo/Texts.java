package org.guavathread.cli.demo;

/** Short forms of texts for the output. */
final class Texts {

    /** Keeps a line of the demo, with its 49 columns on the left, within 120 columns. */
    private static final int MAX_LENGTH = 71;

    private Texts() {}

    static String shortened(String text) {
        return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH - 3) + "...";
    }
}
