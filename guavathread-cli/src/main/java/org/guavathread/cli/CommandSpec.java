package org.guavathread.cli;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes a command for the command line and the help. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface CommandSpec {

    /**
     * Name of the command; a command of a group has the form {@code "sheet check"}.
     *
     * @return one or two words
     */
    String name();

    /**
     * What the command does.
     *
     * @return one line
     */
    String summary();

    /**
     * Arguments after the name.
     *
     * @return for example {@code "FILE..."}
     */
    String synopsis();

    /**
     * What an operator has to know besides the summary.
     *
     * @return lines of the help
     */
    String[] details() default {};

    /**
     * An example of the whole command line.
     *
     * @return one line
     */
    String example();

    /**
     * The exit codes that the command can end with.
     *
     * @return the codes
     */
    ExitCode[] exitCodes();
}
