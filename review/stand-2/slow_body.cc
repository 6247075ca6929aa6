// Case: one client sends a body of legal size piece by piece, for longer than the idle timeout
// but never idle.
#include "site.hh"

#include <cstdio>
#include <cstdlib>
#include <unistd.h>

using namespace review;

int main(int count, char **values)
{
    const auto trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    if (count != 2)
        return 2;
    constexpr int pieces = 200;
    constexpr std::size_t pieceBytes = 20000;
    constexpr double pieceGapS = 0.1;
    Store store;
    store.start();
    std::mutex ranLock;
    std::set<std::string> ran;
    std::vector<Upstream> upstreams(3);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        auto &one = upstreams[i];
        one.service = "planner";
        one.id = "i-" + std::to_string(i);
        one.onRun = [&](const std::string &id, const std::string &) {
            const std::lock_guard guard(ranLock);
            ran.insert(id);
        };
        one.start();
        store.put("servers/" + one.id, one.entry("bay-" + std::to_string(i)));
    }
    store.put("op/config", configuration(7, {route("r-1", "/plug/", "unsafe", "planner", 30000)}, {"planner"}));
    Host host;
    host.id = "edge-0";
    if (!host.start(values[1], "bay-0", store.server.port))
        return 2;
    const auto finish = [&](int code) {
        host.stop();
        store.ended = true;
        std::fflush(nullptr);
        std::_Exit(code);
    };
    if (!awaitReady(host, 10))
        finish(2);
    sleepUntil(now() + 2);
    if (call(host.callers, "POST", "/plug/assign", newId(), "{}", 3000).status != 200)
        finish(2);
    record("a short request is answered with 200");

    const auto id = newId();
    Connection connection(connectTo(host.callers));
    const std::string piece(pieceBytes, 'p');
    const auto began = now();
    auto whole = connection.send("POST /plug/assign HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                                 + "\r\nX-Deadline-Ms: 60000\r\nContent-Length: "
                                 + std::to_string(pieces * pieceBytes) + "\r\n\r\n");
    double failedAt = 0;
    for (int sent = 0; whole && sent < pieces; ++sent) {
        whole = connection.send(piece);
        if (!whole)
            failedAt = now() - began;
        else if (trouble)
            sleepUntil(began + (sent + 1) * pieceGapS);
    }
    const auto sentS = now() - began;
    Message answer;
    const auto answered = whole && connection.read(answer, 10);
    const auto right = answered && answer.first.find(" 200") != std::string::npos
            && answer.headers["x-upstream-stamp"] == "planner." + id;
    char line[240];
    std::snprintf(line, sizeof(line),
                  "request %s: body of %zu bytes, a piece each %.1f s; %s after %.2f s; answer: %s; run: %s",
                  id.c_str(), pieces * pieceBytes, trouble ? pieceGapS : 0.0,
                  whole ? "sent whole" : "the host had closed the connection", whole ? sentS : failedAt,
                  answered ? answer.first.c_str() : "none", ran.count(id) ? "yes" : "no");
    record(line);
    std::printf("%s\n", line);
    // Ordinary callers were served all the while, so the host was in calm.
    if (call(host.callers, "POST", "/plug/assign", newId(), "{}", 3000).status != 200)
        finish(2);
    finish(right ? 0 : 1);
}
