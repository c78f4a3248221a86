package org.guavathread.cli;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes a command for argument parsing and for its help text. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface CommandSpec {

    /**
     * Name of the command; a command in a group has the form {@code "sheet check"}.
     *
     * @return one or two words
     */
    String name();

    /**
     * One-line description of the command.
     *
     * @return one line
     */
    String summary();

    /**
     * Arguments and options, as shown after the name in the usage line.
     *
     * @return for example {@code "FILE..."}
     */
    String synopsis();

    /**
     * Further explanations, printed below the summary.
     *
     * @return lines of the help text
     */
    String[] details() default {};

    /**
     * An example of a complete command line.
     *
     * @return one line
     */
    String example();

    /**
     * The exit codes that the command can return.
     *
     * @return the codes
     */
    ExitCode[] exitCodes();
}
