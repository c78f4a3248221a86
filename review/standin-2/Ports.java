import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Free ports of a loopback address. */
final class Ports {

    private Ports() {}

    static int[] free(String ip, int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName(ip));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
