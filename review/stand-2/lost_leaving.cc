// Case: one answer of the store is lost, that to the watch which brings the news that an upstream
// leaves.
#include "site.hh"

#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr double drainS = 2.0; // bound drain
constexpr double stableWindowS = 3.0; // bound stable-window
constexpr double heartbeatS = 1.5;

} // namespace

int main(int count, char **values)
{
    const auto trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    if (count != 2)
        return 2;
    Store store;
    store.start();
    std::mutex ranLock;
    std::map<std::string, std::pair<std::string, double>> ran; // upstream and time by request
    // One of seven leaves, the only one of its zone.
    std::vector<Upstream> upstreams(7);
    const auto zoneOf = [](std::size_t i) { return "bay-" + std::to_string(i == 0 ? 0 : 1 + i % 2); };
    std::atomic<bool> beating = true;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        auto &one = upstreams[i];
        one.service = "planner";
        one.id = "i-" + std::to_string(i);
        one.workS = 0.4;
        one.onRun = [&ranLock, &ran, &one](const std::string &id, const std::string &) {
            const std::lock_guard guard(ranLock);
            ran[id] = {one.id, now()};
        };
        one.start();
        store.put("servers/" + one.id, one.entry(zoneOf(i)));
    }
    auto &first = upstreams[0];
    std::thread heartbeats([&] {
        while (beating) {
            for (std::size_t i = 0; i < upstreams.size() && beating; ++i) {
                sleepUntil(now() + heartbeatS / 7);
                if (!upstreams[i].leaving)
                    store.put("servers/" + upstreams[i].id, upstreams[i].entry(zoneOf(i)));
            }
        }
    });
    store.put("op/config", configuration(7, {route("r-1", "/plug/", "unsafe", "planner", 1200)}, {"planner"}));
    std::vector<Host> hosts(4);
    const auto finish = [&](int code) {
        for (auto &host : hosts)
            host.stop();
        store.ended = true;
        std::fflush(nullptr);
        std::_Exit(code);
    };
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].id = "edge-" + std::to_string(i);
        if (!hosts[i].start(values[1], "bay-" + std::to_string(i % 3), store.server.port))
            finish(2);
    }
    for (const auto &host : hosts) {
        if (!awaitReady(host, 10)) {
            record(host.id + " is not ready");
            finish(2);
        }
    }
    record("all hosts are ready");
    sleepUntil(now() + 8);
    for (const auto &host : hosts) {
        if (call(host.callers, "POST", "/plug/assign", newId(), "{}", 1500).status != 200)
            finish(2);
    }
    record("each host has served an order");
    sleepUntil(now() + 4);

    if (trouble) {
        const std::lock_guard guard(store.lock);
        store.loseWatches = "servers/";
    }
    first.leaving = true;
    const auto acked = store.put("servers/" + first.id, first.entry(zoneOf(0)));
    record("store: " + first.id + " is acknowledged as draining");
    sleepUntil(acked + 0.1);
    {
        const std::lock_guard guard(store.lock);
        store.loseWatches.clear();
    }
    const auto lost = store.lost.load();
    // No order comes for a while. From here on the hosts are in touch again and bound by the ack.
    const auto bound = std::max(acked + drainS, lost > 0 ? store.lastLost + stableWindowS : 0);
    sleepUntil(std::max(bound, acked + stableWindowS) + 0.2);
    struct Sent
    {
        std::string id;
        std::string host;
        double at = 0;
        Answer answer;
    };
    std::mutex sentLock;
    std::vector<Sent> sent;
    std::vector<std::thread> clients;
    for (int round = 0; round < 5; ++round) {
        for (const auto &host : hosts) {
            clients.emplace_back([&, port = host.callers, name = host.id] {
                Sent one{newId(), name, now(), {}};
                one.answer = call(port, "POST", "/plug/assign", one.id, "{}", 1500);
                const std::lock_guard guard(sentLock);
                sent.push_back(one);
            });
        }
        sleepUntil(now() + 0.02);
    }
    // The upstream has served for `drain` and a little longer, and ends.
    sleepUntil(acked + stableWindowS + 0.5);
    first.gone = true;
    record(first.id + " ends");
    for (auto &client : clients)
        client.join();
    beating = false;
    heartbeats.join();

    int late = 0;
    int cut = 0;
    int served = 0;
    for (const auto &one : sent) {
        const auto found = ran.find(one.id);
        const auto upstream = found == ran.end() ? std::string("none") : found->second.first;
        const auto reached = found == ran.end() ? 0 : found->second.second;
        const auto leaving = upstream == first.id;
        char line[200];
        std::snprintf(line, sizeof(line), "order sent at ack + %.3f s by %s: run by %s at ack + %.3f s, status %d",
                      one.at - acked, one.host.c_str(), upstream.c_str(), reached - acked, one.answer.status);
        record(one.id + " " + line);
        served += one.answer.status == 200 ? 1 : 0;
        late += leaving && one.at > bound ? 1 : 0;
        cut += leaving && one.answer.status != 200 ? 1 : 0;
    }
    char line[240];
    std::snprintf(line, sizeof(line),
                  "answers of the store lost: %d; orders sent later than drain, in touch: %zu, answered 200: %d; reached the "
                  "leaving upstream: %d, of these not answered with success: %d",
                  lost, sent.size(), served, late, cut);
    record(line);
    std::printf("%s\n", line);
    if (sent.size() != 20 || (trouble && lost == 0))
        finish(2);
    finish(late > 0 ? 1 : 0);
}
