package org.guavathread.router.http;

import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * The {@code Date} header of answers. Written here since the HTTP library's formatter loads the names of all time zones,
 * which is a fifth of the processor time of a start.
 */
public final class HttpDate {

    /** Name of the header. */
    public static final String HEADER = "Date";

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String[] DAYS = {"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"};
    private static final String[] MONTHS = {
        "Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"
    };

    private static volatile HttpDate latest = new HttpDate(Long.MIN_VALUE, "");

    private final long second;
    private final String text;

    private HttpDate(long second, String text) {
        this.second = second;
        this.text = text;
    }

    /**
     * Returns the value of the header for the present time of day.
     *
     * @return for example {@code Sun, 06 Nov 1994 08:49:37 GMT}
     */
    public static String now() {
        return at(System.currentTimeMillis());
    }

    /**
     * Returns the value of the header.
     *
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return for example {@code Sun, 06 Nov 1994 08:49:37 GMT}
     */
    public static String at(long nowMillis) {
        long second = Math.floorDiv(nowMillis, MILLIS_PER_SECOND);
        HttpDate known = latest;
        if (known.second != second) {
            known = new HttpDate(second, format(second));
            latest = known;
        }
        return known.text;
    }

    private static String format(long second) {
        LocalDateTime time = LocalDateTime.ofEpochSecond(second, 0, ZoneOffset.UTC);
        StringBuilder text = new StringBuilder(29)
                .append(DAYS[time.getDayOfWeek().ordinal()])
                .append(", ");
        twoDigits(text, time.getDayOfMonth())
                .append(' ')
                .append(MONTHS[time.getMonthValue() - 1])
                .append(' ')
                .append(time.getYear())
                .append(' ');
        twoDigits(text, time.getHour()).append(':');
        twoDigits(text, time.getMinute()).append(':');
        return twoDigits(text, time.getSecond()).append(" GMT").toString();
    }

    private static StringBuilder twoDigits(StringBuilder text, int number) {
        return text.append((char) ('0' + number / 10)).append((char) ('0' + number % 10));
    }
}
