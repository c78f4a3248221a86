/** The sheet: the configuration document through which operators control the system. */
package org.guavathread.core.sheet;
