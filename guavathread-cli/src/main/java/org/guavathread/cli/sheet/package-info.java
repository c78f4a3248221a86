/** Commands for sheet files. */
package org.guavathread.cli.sheet;
