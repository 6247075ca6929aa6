// Random disruptions of hosts, servers and the store, one after the other or at once, with checks
// of MIXED, TWICE, REFUSED, LOST and OWNER. SEED chooses them. Not a case: what was tried.
#include "stand/site.hh"

#include <csignal>
#include <iostream>
#include <map>
#include <sys/wait.h>

using namespace review;

namespace {

constexpr auto length = std::chrono::seconds(85);
constexpr auto settle = std::chrono::seconds(4);

struct client_attempt
{
    bool safe = false;
    int status = -1;
    std::string host;
    bool wrongBody = false;
    double sentAt = 0;
    double endedAt = 0;
};

std::mutex lock;
// All guarded by lock.
std::map<std::string, client_attempt> attempts;
std::map<std::string, int> runs;
// When a host was last disturbed, and until when that excuses it.
std::map<std::string, double> disturbedUntil;
// The times of SIGTERM, by host.
std::map<std::string, std::vector<double>> stops;

std::atomic<double> copyShare = 0;
std::atomic<double> resetShare = 0;

auto draw() -> double
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    return std::uniform_real_distribution<>(0, 1)(random);
}

auto disturb(server &, server_connection &connection, const std::string &path) -> bool
{
    const auto order = path == "/grant" || path == "/release";
    // Late second answers to orders are case 3.
    if (!order && draw() < copyShare
        && connection.lastAnswer.find("X-Request-Id") != std::string::npos)
        return sendAll(connection.socket, connection.lastAnswer);
    if (draw() < resetShare)
        return false;
    return true;
}

auto sendOne(site &deployment, const std::string &id, std::mt19937 &random) -> void
{
    caller_request request;
    const auto kind = random() % 4;
    request.id = id;
    request.path = kind == 0 ? "/board/1" : kind == 1 ? "/toggle/1" : "/plan/1";
    request.method = kind == 0 ? "GET" : "DELETE";
    request.key = random() % keyCount;
    request.deadlineMs = 1500;
    const auto &entry = deployment.hosts[random() % deployment.hosts.size()];
    {
        const std::lock_guard guard(lock);
        attempts[id] = {kind == 0, -1, entry.name, false, secondsSinceStart(), 0};
    }
    const auto answer = callHost(entry, request);
    if (answer.status != 200 && answer.status > 0 && answer.status < 500)
        record("ODD " + id + " at " + entry.name + ": " + std::to_string(answer.status) + " "
               + answer.body);
    const std::lock_guard guard(lock);
    auto &attempt = attempts[id];
    attempt.status = answer.status;
    attempt.endedAt = secondsSinceStart();
    attempt.wrongBody = answer.status == 200 && answer.body != "answer to " + id;
}

} // namespace

auto main() -> int
{
    openRecord(std::string(std::getenv("CASE_FOLDER")) + "/record.txt");
    const auto seed = static_cast<unsigned>(std::atoi(std::getenv("SEED")));
    std::mt19937 random(seed);
    site_options options;
    options.zones = {"sued-a", "sued-b", "sued-c"};
    for (int index = 0; index < 12; ++index) {
        const auto &zone = options.zones[static_cast<std::size_t>(index) % options.zones.size()];
        options.servers.push_back({"i-board-" + std::to_string(index), "board", zone, true});
    }
    for (int index = 0; index < 6; ++index)
        options.servers.push_back({"i-plan-" + std::to_string(index), "plan",
                                   options.zones[static_cast<std::size_t>(index) % 3]});
    site deployment(options);
    for (const auto &entry : deployment.servers)
        entry->hook = disturb;
    awaitServing(deployment);
    std::atomic<bool> stopping = false;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 40; ++caller) {
        callers.emplace_back([&, caller] {
            std::mt19937 own(seed * 1000 + static_cast<unsigned>(caller));
            for (int number = 0; !stopping; ++number) {
                sendOne(deployment, "c" + std::to_string(caller) + "-" + std::to_string(number),
                        own);
                std::this_thread::sleep_for(std::chrono::milliseconds(own() % 120));
            }
        });
    }
    owner_watch watch(deployment);
    const auto end = std::chrono::steady_clock::now() + length;
    struct later
    {
        double at;
        std::function<void()> work;
    };
    std::vector<later> plan;
    const auto after = [&](double delay, std::function<void()> work) {
        plan.push_back({secondsSinceStart() + delay, std::move(work)});
    };
    const auto excuse = [&](const host &entry, double until) {
        const std::lock_guard guard(lock);
        auto &known = disturbedUntil[entry.name];
        known = std::max(known, until);
        record("DISTURB " + entry.name + " until " + std::to_string(until));
    };
    std::set<std::string> busy;
    auto storeBusy = false;
    std::uint64_t crashes = 0;
    std::vector<store_copy> copies;
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t index = 0; index < plan.size();) {
            if (plan[index].at > secondsSinceStart()) {
                ++index;
                continue;
            }
            const auto work = plan[index].work;
            plan.erase(plan.begin() + static_cast<std::ptrdiff_t>(index));
            work();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        if (random() % 40 != 0)
            continue;
        auto chosen = random() % deployment.hosts.size();
        if (random() % 2 == 0) {
            for (std::size_t index = 0; index < deployment.hosts.size(); ++index)
                chosen = deployment.hosts[index].name == leaderOf(deployment) ? index : chosen;
        }
        auto &entry = deployment.hosts[chosen];
        const auto action = random() % 13;
        const auto now = secondsSinceStart();
        const auto time = 0.5 + static_cast<double>(random() % 400) / 100;
        if (action < 4 && (busy.contains(entry.name) || busy.size() >= 4))
            continue;
        switch (action) {
        case 0:
            record("kill " + entry.name);
            excuse(entry, now + 8);
            busy.insert(entry.name);
            killHost(entry);
            after(0.7, [&] {
                startHost(entry);
                busy.erase(entry.name);
            });
            break;
        case 1:
        case 2:
            record("stop " + entry.name + " for " + std::to_string(time));
            excuse(entry, now + time + 4);
            busy.insert(entry.name);
            ::kill(entry.process, SIGSTOP);
            after(time, [&] {
                ::kill(entry.process, SIGCONT);
                record("continue " + entry.name);
                busy.erase(entry.name);
            });
            break;
        case 3:
            record("term " + entry.name);
            {
                const std::lock_guard guard(lock);
                stops[entry.name].push_back(now);
            }
            busy.insert(entry.name);
            ::kill(entry.process, SIGTERM);
            after(6.0, [&] {
                killHost(entry);
                startHost(entry);
                busy.erase(entry.name);
            });
            break;
        case 4:
            copyShare = 0.03;
            after(5, [&] { copyShare = 0; });
            break;
        case 5:
            resetShare = 0.03;
            after(4, [&] { resetShare = 0; });
            break;
        case 6: {
            const auto zone = options.zones[random() % 3];
            putItem(deployment.store, "op/evacuate/" + zone, "{}");
            after(time, [&, zone] { putItem(deployment.store, "op/evacuate/" + zone, ""); });
            break;
        }
        case 7:
        case 8:
            if (storeBusy)
                break;
            storeBusy = true;
            record("store away for " + std::to_string(time));
            setStoreFaults(deployment.store, {random() % 2 == 0, true, random() % 3 == 0});
            after(time, [&] {
                setStoreFaults(deployment.store, {});
                record("store back");
                storeBusy = false;
            });
            break;
        case 9:
            compactHistory(deployment.store);
            break;
        case 10: {
            // A crash for good; a new server comes at another address.
            const auto index = random() % options.servers.size();
            const auto before = listServers(deployment)[index];
            if (before->crashed)
                break;
            crashServer(*before);
            after(3.0,
                  [&, before] { putItem(deployment.store, "servers/" + before->options.id, ""); });
            after(1.0, [&, index, before] {
                restartElsewhere(deployment, index, "n" + std::to_string(++crashes));
            });
            break;
        }
        case 11: {
            const auto index = random() % options.servers.size();
            const auto leaving = listServers(deployment)[index];
            if (leaving->crashed || leaving->draining)
                break;
            leaving->draining = true;
            auto text = serverEntry(*leaving);
            text.replace(text.find("\"ready\""), 7, "\"draining\"");
            text.replace(text.find("\"seq\":1"), 7, "\"seq\":2");
            record("drain " + leaving->options.id);
            putItem(deployment.store, "servers/" + leaving->options.id, text);
            after(3.5, [&, leaving] {
                crashServer(*leaving);
                putItem(deployment.store, "servers/" + leaving->options.id, "");
            });
            after(1.0, [&, index] {
                restartElsewhere(deployment, index, "n" + std::to_string(++crashes));
            });
            break;
        }
        default:
            if (storeBusy || std::getenv("RESTORE") == nullptr)
                break;
            storeBusy = true;
            copies.push_back(copyStore(deployment.store));
            after(4.0, [&] {
                record("store away for a drill");
                setStoreFaults(deployment.store, {.unavailable = true});
            });
            after(5.0, [&] {
                restoreStore(deployment.store, copies.back());
                setStoreFaults(deployment.store, {});
                for (const auto &one : listServers(deployment)) {
                    if (!one->crashed && !one->draining)
                        putItem(deployment.store, "servers/" + one->options.id, serverEntry(*one));
                }
                record("store back from a copy");
                storeBusy = false;
            });
        }
    }
    stopping = true;
    for (auto &thread : callers)
        thread.join();
    std::this_thread::sleep_for(settle);
    const std::lock_guard guard(lock);
    std::map<std::string, int> counts;
    for (const auto &[id, attempt] : attempts) {
        const auto ran = runsOf(id);
        ++counts["status " + std::to_string(attempt.status)];
        if (!attempt.safe && ran > 1)
            record("BREACH TWICE " + id), ++counts["TWICE"];
        const auto promised = attempt.status == 503 || attempt.status == 429
                || attempt.status == 408 || attempt.status == 421;
        if (!attempt.safe && promised && ran > 0)
            record("BREACH REFUSED " + id), ++counts["REFUSED"];
        if (attempt.wrongBody)
            record("BREACH MIXED " + id), ++counts["MIXED"];
        for (const auto stop : stops[attempt.host]) {
            if (attempt.status == 0 && attempt.endedAt > stop && attempt.endedAt < stop + 5.9)
                record("BREACH LOST at a planned stop " + id + " at " + attempt.host + ", sent "
                       + std::to_string(attempt.sentAt) + ", ended "
                       + std::to_string(attempt.endedAt) + ", stop " + std::to_string(stop)),
                        ++counts["LOST at a stop"];
        }
        if (attempt.status == 0 && disturbedUntil[attempt.host] < attempt.sentAt)
            record("BREACH LOST " + id + " at " + attempt.host + ", sent "
                   + std::to_string(attempt.sentAt) + ", ended " + std::to_string(attempt.endedAt)),
                    ++counts["LOST"];
    }
    for (const auto &[name, count] : counts)
        std::cout << name << ": " << count << "; ";
    const std::lock_guard held(watch.lock);
    std::cout << watch.breaches.size() << " breaches of OWNER" << std::endl;
    finish(deployment, 0);
}
