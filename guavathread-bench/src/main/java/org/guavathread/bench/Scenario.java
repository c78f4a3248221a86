package org.guavathread.bench;

import java.util.List;
import java.util.Map;

/** One measurement that the bench can run. */
public interface Scenario {

    /**
     * Returns the name of this measurement on the command line.
     *
     * @return for example {@code "limits"}
     */
    String name();

    /**
     * Describes in one line what is measured.
     *
     * @return a line for the help screen
     */
    String summary();

    /**
     * Runs the measurement.
     *
     * @param seed seed of all random numbers
     * @return one row per result; keys are column names in printing order, values are numbers or texts
     */
    List<Map<String, Object>> run(long seed);
}
