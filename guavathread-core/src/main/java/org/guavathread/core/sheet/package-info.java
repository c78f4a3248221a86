/** The sheet: the one document through which operators drive the system. */
package org.guavathread.core.sheet;
