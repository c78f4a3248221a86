package org.guavathread.core.sheet;

import java.util.Collection;
import java.util.Comparator;

/** Finds the known name that is closest to a mistyped one, by edit distance. */
public final class NearestName {

    /** Two edits cover a transposition, a missing or a doubled letter; more would suggest unrelated short names. */
    private static final int MAX_EDITS = 2;

    private NearestName() {}

    /**
     * Suggests the closest known name.
     *
     * @param written the unknown name
     * @param known the known names
     * @return the end of an error message, for example {@code ; did you mean "hosts"?}; empty without a similar name
     */
    public static String suggestion(String written, Collection<String> known) {
        return known.stream()
                .filter(name -> editDistance(written, name) <= Math.min(MAX_EDITS, name.length() / 2))
                .min(Comparator.<String>comparingInt(name -> editDistance(written, name))
                        .thenComparing(Comparator.naturalOrder()))
                .map(name -> "; did you mean \"" + name + "\"?")
                .orElse("");
    }

    private static int editDistance(String a, String b) {
        if (Math.abs(a.length() - b.length()) > MAX_EDITS) {
            return MAX_EDITS + 1;
        }
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] row = new int[b.length() + 1];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitutionCost = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(substitutionCost, Math.min(previous[j], row[j - 1]) + 1);
            }
            previous = row;
        }
        return previous[b.length()];
    }
}
