package org.guavathread.wire;

import java.io.IOException;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.message.UnknownConstant;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Reads what {@link RecordWriter} writes, and decides which records of other builds are read. */
enum RecordReader {
    /** A record has the components of this build. */
    EXACT {
        @Override
        boolean accepts(int found, int required, int known) {
            return found == known;
        }

        @Override
        int readFieldCount(MessageUnpacker unpacker, RecordLayout layout) throws IOException {
            return layout.types().size() == 1 ? 1 : unpacker.unpackArrayHeader();
        }

        @Override
        Object unknownConstant(Class<?> type, String name) {
            throw new CodecException("\"" + name + "\" is not a constant of " + type.getSimpleName() + ".");
        }
    },

    /** A record may have more components than this build knows, or lack those that were added later. */
    TOLERANT {
        @Override
        boolean accepts(int found, int required, int known) {
            return found >= required;
        }

        @Override
        int readFieldCount(MessageUnpacker unpacker, RecordLayout layout) throws IOException {
            boolean isList = unpacker.getNextFormat().getValueType() == ValueType.ARRAY;
            boolean isScalar = RecordLayout.isScalar(layout.types().get(0));
            if (layout.types().size() == 1) {
                return isScalar && isList ? unpacker.unpackArrayHeader() : 1;
            }
            return isScalar && !isList ? 1 : unpacker.unpackArrayHeader();
        }

        @Override
        Object unknownConstant(Class<?> type, String name) {
            for (Object constant : type.getEnumConstants()) {
                if (isForUnknown(type, ((Enum<?>) constant).name())) {
                    return constant;
                }
            }
            return EXACT.unknownConstant(type, name);
        }
    };

    /** Bounds the memory that a malformed length can make the decoder allocate. */
    private static final int MAX_LIST_SIZE = 100_000;

    /**
     * Tells whether a record is read.
     *
     * @param found number of its components
     * @param required number of components that every build sends
     * @param known number of components that this build knows
     */
    abstract boolean accepts(int found, int required, int known);

    /** Reads the number of components of a record; one with a single component is written without it. */
    abstract int readFieldCount(MessageUnpacker unpacker, RecordLayout layout) throws IOException;

    /** Returns the constant for a name that this build does not know. */
    abstract Object unknownConstant(Class<?> type, String name);

    Object read(MessageUnpacker unpacker, Type type) throws IOException {
        Class<?> raw = RecordLayout.rawClass(type);
        if (raw == Optional.class) {
            return unpacker.tryUnpackNil()
                    ? Optional.empty()
                    : Optional.of(read(unpacker, RecordLayout.typeArgument(type)));
        }
        if (raw == List.class) {
            return readList(unpacker, RecordLayout.typeArgument(type));
        }
        return raw.isRecord() ? readRecord(unpacker, raw) : readScalar(unpacker, raw);
    }

    private List<Object> readList(MessageUnpacker unpacker, Type inner) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > MAX_LIST_SIZE) {
            throw new CodecException("A list of " + size + " elements is longer than " + MAX_LIST_SIZE + ".");
        }
        List<Object> values = new ArrayList<>(Math.min(size, 1_000));
        for (int i = 0; i < size; i++) {
            values.add(read(unpacker, inner));
        }
        return List.copyOf(values);
    }

    private Object readRecord(MessageUnpacker unpacker, Class<?> raw) throws IOException {
        RecordLayout layout = RecordLayout.of(raw);
        int known = layout.types().size();
        int required = layout.required();
        int found = readFieldCount(unpacker, layout);
        if (!accepts(found, required, known)) {
            throw new CodecException(raw.getSimpleName() + " has " + found + " fields instead of " + known + ".");
        }
        Object[] values = new Object[known];
        for (int i = 0; i < known; i++) {
            values[i] = i < found
                    ? read(unpacker, layout.types().get(i))
                    : layout.defaults().get(i - required);
        }
        if (found > known) {
            unpacker.skipValue(found - known);
        }
        return layout.construct(values);
    }

    private Object readScalar(MessageUnpacker unpacker, Class<?> raw) throws IOException {
        if (raw == long.class) {
            return unpacker.unpackLong();
        }
        if (raw == int.class) {
            return unpacker.unpackInt();
        }
        if (raw == double.class) {
            return unpacker.unpackDouble();
        }
        if (raw == boolean.class) {
            return unpacker.unpackBoolean();
        }
        if (raw == String.class) {
            return unpacker.unpackString();
        }
        if (raw == byte[].class) {
            return unpacker.readPayload(unpacker.unpackBinaryHeader());
        }
        if (raw.isEnum()) {
            return enumConstant(raw, unpacker.unpackString());
        }
        throw new CodecException(raw.getName() + " has no wire encoding; use a record, number, string, list or enum.");
    }

    private Object enumConstant(Class<?> raw, String name) {
        for (Object constant : raw.getEnumConstants()) {
            if (((Enum<?>) constant).name().equals(name)) {
                return constant;
            }
        }
        return unknownConstant(raw, name);
    }

    private static boolean isForUnknown(Class<?> type, String constant) {
        try {
            return type.getField(constant).isAnnotationPresent(UnknownConstant.class);
        } catch (NoSuchFieldException e) {
            throw new CodecException(type.getName() + " cannot be read; make the enum public.", e);
        }
    }
}
