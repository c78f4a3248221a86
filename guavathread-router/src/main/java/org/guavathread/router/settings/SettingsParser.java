package org.guavathread.router.settings;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

/**
 * Fills an object with args4j annotations from flags and environment variables. The flag {@code --drain-deadline-millis}
 * has the variable {@code GUAVATHREAD_DRAIN_DEADLINE_MILLIS}; a flag takes precedence over its variable.
 *
 * <pre>{@code
 * DaemonSettings settings = SettingsParser.parse(new DaemonSettings(), arguments, System.getenv());
 * }</pre>
 */
public final class SettingsParser {

    private static final String VARIABLE_PREFIX = "GUAVATHREAD_";
    private static final int USAGE_WIDTH = 110;

    private SettingsParser() {}

    /**
     * Fills the target.
     *
     * @param target the object with args4j annotations
     * @param arguments the command line
     * @param environment the environment variables
     * @param <T> the type of the target
     * @return the target
     * @throws SettingException if a flag is unknown, has no value or a value of the wrong type
     */
    public static <T> T parse(T target, String[] arguments, Map<String, String> environment) {
        List<String> all = new ArrayList<>(argumentsFromEnvironment(target, arguments, environment));
        all.addAll(Arrays.asList(arguments));
        try {
            parserOf(target).parseArgument(all);
        } catch (CmdLineException e) {
            throw new SettingException(e.getMessage() + "; see --help.");
        }
        return target;
    }

    /**
     * Builds a parser whose help includes the defaults.
     *
     * @param target the object with args4j annotations
     * @return the parser
     */
    public static CmdLineParser parserOf(Object target) {
        return new CmdLineParser(
                target, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH).withShowDefaults(true));
    }

    /**
     * Gives the environment variable of a flag.
     *
     * @param flag for example {@code "--host-id"}
     * @return for example {@code "GUAVATHREAD_HOST_ID"}
     */
    public static String variableOf(String flag) {
        return VARIABLE_PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private static List<String> argumentsFromEnvironment(
            Object target, String[] arguments, Map<String, String> environment) {
        List<String> derived = new ArrayList<>();
        List<String> given = Arrays.asList(arguments);
        for (Field field : fieldsOf(target.getClass())) {
            Option option = field.getAnnotation(Option.class);
            if (option == null || option.help() || given.contains(option.name())) {
                continue;
            }
            String value = environment.get(variableOf(option.name()));
            if (value == null || value.isEmpty()) {
                continue;
            }
            if (field.getType() != boolean.class) {
                derived.add(option.name());
                derived.add(value);
            } else if (Boolean.parseBoolean(value)) {
                derived.add(option.name());
            }
        }
        return derived;
    }

    /** Includes inherited fields: commands of the client share options through a common superclass. */
    private static List<Field> fieldsOf(Class<?> type) {
        List<Field> fields = new ArrayList<>();
        for (Class<?> each = type; each != null; each = each.getSuperclass()) {
            fields.addAll(Arrays.asList(each.getDeclaredFields()));
        }
        return fields;
    }
}
