/** Value types for the names and numbers that the other packages pass around. */
package org.guavathread.core.id;
