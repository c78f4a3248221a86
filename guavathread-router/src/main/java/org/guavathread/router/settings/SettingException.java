package org.guavathread.router.settings;

/** Signals a setting that is missing or invalid; the process then exits with code 2. */
public class SettingException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Builds the exception.
     *
     * @param message names the setting, its value and the allowed values
     */
    public SettingException(String message) {
        super(message);
    }

    /**
     * Builds the exception for one setting.
     *
     * @param name the flag, for example {@code "--listen-callers"}
     * @param value the value found
     * @param allowed the allowed values
     * @return the exception
     */
    public static SettingException of(String name, String value, String allowed) {
        if (value == null) {
            return new SettingException(name + " is missing; allowed: " + allowed + ".");
        }
        return new SettingException(name + " is \"" + value + "\"; allowed: " + allowed + ".");
    }
}
