package org.guavathread.wire;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.guavathread.core.message.LaterField;

/**
 * Components of a record.
 *
 * @param getters read the components
 * @param types their types
 * @param defaults values of the last components, for messages of builds that do not have them
 * @param constructor the canonical constructor
 */
record RecordLayout(List<Method> getters, List<Type> types, List<Object> defaults, Constructor<?> constructor) {

    private static final Map<Class<?>, RecordLayout> LAYOUTS = new ConcurrentHashMap<>();

    static RecordLayout of(Class<?> raw) {
        RecordLayout known = LAYOUTS.get(raw);
        if (known == null) {
            // Not computeIfAbsent: the default of a component may need the layout of its own type.
            known = reflect(raw);
            LAYOUTS.put(raw, known);
        }
        return known;
    }

    private static RecordLayout reflect(Class<?> raw) {
        try {
            List<Method> getters = new ArrayList<>();
            List<Type> types = new ArrayList<>();
            List<Class<?>> parameters = new ArrayList<>();
            List<Object> defaults = new ArrayList<>();
            for (RecordComponent component : raw.getRecordComponents()) {
                getters.add(component.getAccessor());
                types.add(component.getGenericType());
                parameters.add(component.getType());
                LaterField later = component.getAnnotation(LaterField.class);
                if (later != null) {
                    defaults.add(defaultOf(component.getGenericType(), later.value()));
                } else if (!defaults.isEmpty()) {
                    throw new CodecException(raw.getName() + "." + component.getName()
                            + " follows a component that was added later; move it before that one.");
                }
            }
            Constructor<?> constructor = raw.getConstructor(parameters.toArray(new Class<?>[0]));
            return new RecordLayout(List.copyOf(getters), List.copyOf(types), List.copyOf(defaults), constructor);
        } catch (ReflectiveOperationException e) {
            throw new CodecException(raw.getName() + " cannot be encoded; make the record and its type public.", e);
        }
    }

    private static Object defaultOf(Type type, String text) {
        Class<?> raw = rawClass(type);
        if (raw == Optional.class) {
            return Optional.empty();
        }
        if (raw == List.class) {
            return List.of();
        }
        if (raw == long.class) {
            return Long.parseLong(text);
        }
        if (raw == int.class) {
            return Integer.parseInt(text);
        }
        if (raw == double.class) {
            return Double.parseDouble(text);
        }
        if (raw == boolean.class) {
            return Boolean.parseBoolean(text);
        }
        if (raw == String.class) {
            return text;
        }
        if (raw.isEnum()) {
            for (Object constant : raw.getEnumConstants()) {
                if (((Enum<?>) constant).name().equals(text)) {
                    return constant;
                }
            }
        }
        if (raw.isRecord() && of(raw).types().size() == 1) {
            return of(raw).construct(new Object[] {defaultOf(of(raw).types().get(0), text)});
        }
        throw new CodecException("\"" + text + "\" is no default of type " + raw.getName() + ".");
    }

    /** Returns the number of components that every build sends. */
    int required() {
        return types.size() - defaults.size();
    }

    Object construct(Object[] values) {
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            throw new CodecException(
                    "A frame holds a value that its type rejects: "
                            + e.getCause().getMessage(),
                    e);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new CodecException("A frame holds a value that its type rejects: " + e.getMessage(), e);
        }
    }

    /** Tells whether values of a type are never written as a list, so that they can be told from a record with several components. */
    static boolean isScalar(Type type) {
        Class<?> raw = rawClass(type);
        if (raw == Optional.class) {
            return isScalar(typeArgument(type));
        }
        if (raw.isRecord()) {
            List<Type> types = of(raw).types();
            return types.size() == 1 && isScalar(types.get(0));
        }
        return raw != List.class;
    }

    static Class<?> rawClass(Type type) {
        return type instanceof ParameterizedType parameterized
                ? (Class<?>) parameterized.getRawType()
                : (Class<?>) type;
    }

    static Type typeArgument(Type type) {
        return ((ParameterizedType) type).getActualTypeArguments()[0];
    }
}
