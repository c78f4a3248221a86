package org.guavathread.core.message;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a component that a message of the gateway gained after hosts were built that do not send it. Such components come
 * last, in the order in which they were added, and none is ever removed.
 *
 * <pre>{@code
 * public record Grant(long roomInMillis, @LaterField("300") int validMillis) implements PeerMessage {}
 * }</pre>
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface LaterField {

    /**
     * Value of the component in messages of earlier builds: the one with which no rule is broken.
     *
     * @return a number, a boolean, a text or the name of an enum's constant; ignored for lists and optionals, which are empty
     */
    String value() default "";
}
