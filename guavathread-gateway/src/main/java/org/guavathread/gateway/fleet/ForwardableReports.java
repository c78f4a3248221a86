package org.guavathread.gateway.fleet;

/**
 * Guesses how many reports of other hosts fit into the next datagram, so that most datagrams are encoded once. Reports of one
 * moment are about equally long: one more is tried when the last datagram had room for it, and seldom in any case.
 */
final class ForwardableReports {

    /** Maximum number of other hosts' reports in one datagram. */
    private static final int MAX_REPORTS = 8;

    /** Datagrams after which one more report is tried although it did not fit before. */
    private static final int DATAGRAMS_BETWEEN_TRIES = 8;

    private final int maxBytes;
    private int fitted = MAX_REPORTS;
    private int roomBytes;
    private int reportBytes;
    private int datagramsSinceTry;

    ForwardableReports(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns how many reports to encode into the next datagram. */
    int next() {
        boolean triesOneMore = roomBytes >= reportBytes || datagramsSinceTry >= DATAGRAMS_BETWEEN_TRIES;
        datagramsSinceTry = triesOneMore ? 0 : datagramsSinceTry + 1;
        return Math.min(MAX_REPORTS, triesOneMore ? fitted + 1 : fitted);
    }

    /** Records that a report had to be left out. */
    void tooMany(int bytesOfReport) {
        reportBytes = bytesOfReport;
    }

    /** Records what fitted. */
    void sent(int reports, int datagramBytes) {
        fitted = reports;
        roomBytes = maxBytes - datagramBytes;
    }
}
